//! Decides when the usage counts of a window are frozen for its report.
//!
//! A report can't be changed once it is stored, so it is not stored while counts are on their way
//! and there is time left. This handles gateways that are frozen, cut off or restarted around the
//! end of a window: their counts arrive seconds later.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::report_readiness;
//!
//! let due = Duration::from_secs(10);
//! let mut progress = report_readiness::Progress {
//!     ended: Duration::from_secs(3),
//!     collecting: Duration::from_secs(60),
//!     missing: 0,
//! };
//! assert!(report_readiness::may_freeze(progress, 68, due));
//! progress.missing = 1;
//! assert!(!report_readiness::may_freeze(progress, 68, due));
//! progress.ended = Duration::from_secs(9);
//! assert!(report_readiness::may_freeze(progress, 68, due));
//! ```

use std::time::Duration;

use crate::decision::gossip_timing;

/// Time before a report is due after which it doesn't wait for gateways any longer; it is enough to
/// try again after a failed call.
const RETRY_TIME: Duration = Duration::from_millis(1_200);

/// Time before a report is due at which it must be stored: one call to store it and one to send it.
const SEND_TIME: Duration = Duration::from_millis(900);

/// Time from the end of a window after which nearly all requests that started to run in it have
/// been counted: they are counted when their response begins.
pub const RESPONSE_LAG: Duration = Duration::from_millis(1_300);

/// How far the collection of a window's counts has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Time since the end of the window.
    pub ended: Duration,
    /// For how long this gateway has collected the counts as the reporter.
    pub collecting: Duration,
    /// Gateways that may have counts that are not known here.
    pub missing: usize,
}

/// Whether the counts of a window that ended `ended` ago have had the time to arrive in a fleet of
/// `gateways`; the report is due `due` after the end. They are not frozen before.
#[must_use]
pub fn is_settled(ended: Duration, gateways: usize, due: Duration) -> bool {
    ended >= gossip_timing::settle_delay(gateways).min(latest(due))
}

/// Time after the end of a window up to which missing counts are waited for.
fn latest(due: Duration) -> Duration {
    due.saturating_sub(RETRY_TIME)
}

/// Whether the counts of a window may be frozen in a fleet of `gateways`; the report is due `due`
/// after the end of the window.
///
/// A gateway that has just become the reporter waits for the answers to its requests: others may
/// have counts of processes that have ended, of which no gateway is known to be missing.
#[must_use]
pub fn may_freeze(progress: Progress, gateways: usize, due: Duration) -> bool {
    let has_asked = progress.collecting >= gossip_timing::collection_time(gateways);
    if !has_asked && progress.ended + SEND_TIME < due {
        return false;
    }
    let waits = progress.missing > 0 && progress.ended < latest(due);
    is_settled(progress.ended, gateways, due) && !waits
}

/// Tolerance for the difference between the clocks of two gateways.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(500);

/// Whether a report of a window that ended at `end` may have been stored and sent, and the stored
/// copy lost, when the store came back from a copy. This was noticed at `noticed`, both as time of
/// day; the report is due `due` after the end.
///
/// Such a window is not reported with new counts, since the report may have been received.
#[must_use]
pub fn may_be_lost(end: Duration, noticed: Duration, due: Duration) -> bool {
    let earliest = end + gossip_timing::settle_delay(1).min(latest(due));
    earliest < noticed + CLOCK_TOLERANCE
}
