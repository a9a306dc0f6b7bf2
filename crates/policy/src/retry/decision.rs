//! The retry decision.

use std::time::Duration;

use azuregap_core::code;
use azuregap_core::refusal;
use tokio::time;

use super::attempt;
use super::budget;

/// Maximum number of attempts, the first included.
const MAX_ATTEMPTS: u32 = 3;

/// Delay before the second attempt; it doubles with each further attempt.
const INITIAL_BACKOFF: Duration = Duration::from_millis(10);

/// Time that must remain until the deadline after the delay for a retry to be worthwhile.
const MIN_REMAINING: Duration = Duration::from_millis(100);

/// Time after which the client may retry, if the last refusal has none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(2);

/// What to do with a request whose attempt failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Retry on another replica after a delay.
    Retry {
        /// The delay.
        after: Duration,
    },
    /// Send the refusal as the final response.
    GiveUp {
        /// The final refusal, with the time after which to retry where that can help.
        refusal: refusal::Refusal,
    },
}

/// Decides whether a failed request is retried, and charges the retry to the budget.
#[must_use]
pub fn decide(
    now: time::Instant,
    attempt: attempt::Attempt,
    budget: &mut budget::Budget,
) -> Decision {
    let after = INITIAL_BACKOFF * (1 << (attempt.count.clamp(1, MAX_ATTEMPTS) - 1));
    let in_time = now + after + MIN_REMAINING <= attempt.deadline;
    let allowed = may_retry(&attempt) && attempt.count < MAX_ATTEMPTS && in_time;
    if allowed && budget.try_spend() {
        return Decision::Retry { after };
    }
    Decision::GiveUp { refusal: final_refusal(attempt) }
}

/// Whether another run is safe and may succeed on another replica.
fn may_retry(attempt: &attempt::Attempt) -> bool {
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

/// The refusal for the client, with a time after which to retry if a retry is safe and can help.
fn final_refusal(attempt: attempt::Attempt) -> refusal::Refusal {
    let can_help = may_retry(&attempt);
    let refusal = attempt.refusal;
    if can_help && refusal.retry_after.is_none() {
        return refusal.retry_after(DEFAULT_RETRY_AFTER);
    }
    refusal
}
