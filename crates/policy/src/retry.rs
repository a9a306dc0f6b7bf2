//! Whether a request that failed is tried again elsewhere.
//!
//! Only what certainly did not run, or may be run twice, is tried again; only within its deadline;
//! and only while the [`Budget`] lasts. The budget is a share of recent successes, so that in a
//! brown-out the attempts stay within a tenth above the requests (Google SRE book, chapter 21).

mod attempt;
mod budget;
mod verdict;

pub use attempt::Attempt;
pub use budget::Budget;
pub use verdict::Verdict;
pub use verdict::decide;
