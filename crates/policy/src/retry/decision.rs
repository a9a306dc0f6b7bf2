//! The retry decision.

use std::time::Duration;

use azuregap_core::code;
use azuregap_core::refusal;
use tokio::time;

use super::attempt;
use super::budget;

/// Attempts in all, the first included.
const MOST_ATTEMPTS: u32 = 3;

/// Wait before the second attempt; it doubles with each one.
const FIRST_WAIT: Duration = Duration::from_millis(10);

/// Time that must be left after the wait for a retry to make sense.
const LEAST_LEFT: Duration = Duration::from_millis(100);

/// When to come back if the last refusal did not say.
const DEFAULT_RETRY: Duration = Duration::from_secs(2);

/// What becomes of a request whose attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Try another replica after this time.
    Retry {
        /// Time to wait first.
        after: Duration,
    },
    /// This is the final answer; send it now.
    GiveUp {
        /// The final answer, with the time to come back where that can help.
        refusal: refusal::Refusal,
    },
}

/// Decides whether a failed request is tried again, and takes the retry from the budget.
#[must_use]
pub fn decide(
    now: time::Instant,
    attempt: attempt::Attempt,
    budget: &mut budget::Budget,
) -> Decision {
    let after = FIRST_WAIT * (1 << (attempt.count.clamp(1, MOST_ATTEMPTS) - 1));
    let in_time = now + after + LEAST_LEFT <= attempt.deadline;
    let allowed = may_repeat(&attempt) && attempt.count < MOST_ATTEMPTS && in_time;
    if allowed && budget.spend() {
        return Decision::Retry { after };
    }
    Decision::GiveUp { refusal: last_answer(attempt) }
}

/// Whether a second run could do no harm and might go better.
fn may_repeat(attempt: &attempt::Attempt) -> bool {
    let safe = attempt.refusal.not_run || attempt.idempotent;
    let elsewhere = matches!(
        attempt.refusal.code,
        code::Code::QueueFull
            | code::Code::Shed
            | code::Code::Leaving
            | code::Code::NoReplica
            | code::Code::BackendFailed
            | code::Code::AnswerCut
            | code::Code::OutcomeUnknown
            | code::Code::RunUnknown
            | code::Code::PeerUnavailable
    );
    safe && elsewhere
}

/// The refusal for the caller: a time to come back if coming back can help and do no harm.
fn last_answer(attempt: attempt::Attempt) -> refusal::Refusal {
    let helps = may_repeat(&attempt);
    let refusal = attempt.refusal;
    if helps && refusal.retry_after.is_none() {
        return refusal.retry_after(DEFAULT_RETRY);
    }
    refusal
}
