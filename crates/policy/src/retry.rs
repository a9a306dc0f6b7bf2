//! Whether a failed request is retried on another replica.
//!
//! A request is retried only if it certainly did not run or is idempotent, only within its
//! deadline, and only while the [`Budget`] of its team lasts. The budget is a share of the team's
//! recent successes, so that retries stay within a tenth of the successes during a brownout (after
//! the Google SRE book, chapter 21). It is kept per team, so that a team with many refusals cannot
//! use up the retries of a team with few.

mod attempt;
mod budget;
mod decision;
mod team_budgets;

pub use attempt::Attempt;
pub use budget::Budget;
pub use decision::Decision;
pub use decision::decide;
pub use team_budgets::TeamBudgets;
