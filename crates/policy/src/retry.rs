//! Whether a request that failed is tried again elsewhere.
//!
//! Only what certainly did not run, or may be run twice, is tried again; only within its deadline;
//! and only while the [`Budget`] of its team lasts. The budget is a share of the team's recent
//! successes, so that in a brown-out the retries stay a tenth of the successes (after
//! the Google SRE book, chapter 21), and a team that is refused much cannot use up the retries of
//! one that is refused little.

mod attempt;
mod budget;
mod decision;
mod team_budgets;

pub use attempt::Attempt;
pub use budget::Budget;
pub use decision::Decision;
pub use decision::decide;
pub use team_budgets::TeamBudgets;
