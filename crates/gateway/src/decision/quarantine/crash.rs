//! The end of a backend server in the beginning of an answer.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Losses of one backend server within this time are one crash: gateways notice it at different
/// times, and their clocks differ. It is shorter than the restart of an engine.
const SAME_CRASH: Duration = Duration::from_millis(1_500);

/// Time of day, since 1970; the same at all gateways but for the error of their clocks.
pub(super) type TimeOfDay = Duration;

/// The end of a run of a backend server before the first event of a request.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// Hash of the backend server's id.
    pub backend_hash: u32,
    /// When it was noticed.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    pub at: TimeOfDay,
}

impl Crash {
    /// Whether it is the same crash, noticed by another request.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.backend_hash == other.backend_hash && self.at.abs_diff(other.at) < SAME_CRASH
    }
}
