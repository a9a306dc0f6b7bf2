//! Intervals at which gateways send each other their load and usage counts.
//!
//! A gateway sends and receives about the same number of messages per second in a fleet of any
//! size, from a few gateways to several thousand.
//!
//! ```
//! use azuregap_gateway::decision::gossip_timing;
//!
//! assert!(gossip_timing::load_interval(40) <= std::time::Duration::from_secs(1));
//! assert!(gossip_timing::count_interval(3_100) <= std::time::Duration::from_secs(7));
//! ```

use std::time::Duration;

/// Minimum interval between two load messages: a small part of the time for which a load is valid.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Interval for each recipient of the load, so that the cost of receiving from all of them stays
/// the same.
const LOAD_INTERVAL_EACH: Duration = Duration::from_millis(25);

/// Minimum interval between two messages with usage counts in a large fleet.
const MIN_COUNT_INTERVAL: Duration = Duration::from_millis(600);

/// Interval for each gateway between two messages with usage counts: 500 messages per second take
/// two percent of a core of a gateway that receives all of them.
const COUNT_INTERVAL_EACH: Duration = Duration::from_millis(2);

/// Minimum delay from the end of a window until its counts are frozen: several messages of the
/// other gateways and the time in which a response is read.
const MIN_SETTLE_DELAY: Duration = Duration::from_millis(2_500);

/// Time for which counts may be in transit.
const COUNT_TRANSIT: Duration = Duration::from_millis(1_000);

/// Share of the time until a report is due that is reserved for sending it.
const REPORT_SHARE: f64 = 0.2;

/// Interval between two load messages that are sent to `recipients` gateways.
#[must_use]
pub fn load_interval(recipients: usize) -> Duration {
    scale(LOAD_INTERVAL_EACH, recipients).max(MIN_LOAD_INTERVAL)
}

/// Interval between two messages with usage counts in a fleet of `gateways`.
#[must_use]
pub fn count_interval(gateways: usize) -> Duration {
    scale(COUNT_INTERVAL_EACH, gateways).max(MIN_COUNT_INTERVAL)
}

/// Delay from the end of a window until its counts are frozen, if the report is due `due` after the
/// end of the window.
#[must_use]
pub fn settle_delay(gateways: usize, due: Duration) -> Duration {
    let received = (count_interval(gateways) + COUNT_TRANSIT).max(MIN_SETTLE_DELAY);
    received.min(due.mul_f64(1.0 - REPORT_SHARE))
}

fn scale(interval: Duration, count: usize) -> Duration {
    interval * u32::try_from(count).unwrap_or(u32::MAX)
}
