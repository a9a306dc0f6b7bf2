//! The end of a backend server while it ran a request.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Losses of one backend server within this time are one crash, if the start of its run isn't known:
/// gateways notice it at different times, and their clocks differ.
pub(super) const SAME_CRASH: Duration = Duration::from_millis(1_500);

/// Crashes closer together than this have a common cause, unless the request was sent to the second
/// backend server only after the first one had ended.
const COMMON_CAUSE: Duration = Duration::from_millis(250);

/// Time of day, since 1970; the same at all gateways but for the error of their clocks.
pub(super) type TimeOfDay = Duration;

/// The end of a run of a backend server before a request was answered.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the backend server's id.
    pub backend_hash: u32,
    /// Start of its run, in milliseconds since 1970; zero if a gateway of an earlier version tells.
    pub started_ms: u64,
    /// When the request was sent; zero if a gateway of an earlier version tells.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub sent_at: TimeOfDay,
    /// When the end was noticed.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub at: TimeOfDay,
}

impl Crash {
    /// Whether it is the same crash, noticed by another request. A run ends once.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        let are_known = self.started_ms != 0 && other.started_ms != 0;
        if are_known {
            return self.is_same_run(other);
        }
        self.backend_hash == other.backend_hash && self.at.abs_diff(other.at) < SAME_CRASH
    }

    /// Whether it is of the same run of a backend server.
    pub(super) fn is_same_run(&self, other: &Self) -> bool {
        (self.backend_hash, self.started_ms) == (other.backend_hash, other.started_ms)
    }

    /// Whether the crash can't have the same cause as one at `earlier`, such as a power loss.
    fn is_apart(&self, earlier: TimeOfDay) -> bool {
        let is_sequel = !self.sent_at.is_zero() && self.sent_at >= earlier;
        is_sequel || self.at.saturating_sub(earlier) >= COMMON_CAUSE
    }
}

/// Number of causes that crashes have at least, if those at about the same moment have one.
pub(super) fn count_causes(crashes: &mut [Crash]) -> usize {
    crashes.sort_unstable_by_key(|crash| crash.at);
    let (mut counted, mut count): (Option<TimeOfDay>, usize) = (None, 0);
    for crash in crashes {
        if counted.is_none_or(|counted| crash.is_apart(counted)) {
            counted = Some(crash.at);
            count += 1;
        }
    }
    count
}
