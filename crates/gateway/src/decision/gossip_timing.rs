//! How often gateways tell each other of their load and of their counts.
//!
//! Each sends and hears about as many beacons a second in a fleet of any size. This answers fleets
//! of a few gateways up to some thousands.
//!
//! ```
//! use azuregap_gateway::decision::gossip_timing;
//!
//! assert!(gossip_timing::load_interval(40) <= std::time::Duration::from_secs(1));
//! assert!(gossip_timing::count_interval(3_100) <= std::time::Duration::from_secs(7));
//! ```

use std::time::Duration;

/// Shortest pause between two beacons. Source: a fifth of the time for which a load holds.
const LEAST_INTERVAL: Duration = Duration::from_millis(200);

/// Pause for each gateway that is told, so that the cost of hearing all of them stays the same.
const INTERVAL_EACH: Duration = Duration::from_millis(25);

/// Shortest pause between two messages with counts in a large fleet.
const LEAST_COUNT_INTERVAL: Duration = Duration::from_millis(600);

/// Pause for each gateway between two messages with counts. Source: 500 messages a second take two
/// percent of a core of the gateways that hear them all.
const COUNT_EACH: Duration = Duration::from_millis(2);

/// Time after a window's end until its counts are frozen in a small fleet. Source: several beacons
/// of the other gateways, and the time of an answer to be read.
const SETTLE: Duration = Duration::from_millis(2_500);

/// Time that counts are on their way after they were sent.
const COUNT_WAY: Duration = Duration::from_millis(1_000);

/// Part of the time until a report is due that is left for sending it.
const REPORT_SHARE: f64 = 0.2;

/// Pause between two beacons with the load, if `told` gateways are told.
#[must_use]
pub fn load_interval(told: usize) -> Duration {
    each(INTERVAL_EACH, told).max(LEAST_INTERVAL)
}

/// Pause between two messages with counts in a fleet of `gateways`.
#[must_use]
pub fn count_interval(gateways: usize) -> Duration {
    each(COUNT_EACH, gateways).max(LEAST_COUNT_INTERVAL)
}

/// Time after a window's end until its counts are frozen, if the report is due after `due`.
#[must_use]
pub fn settle_delay(gateways: usize, due: Duration) -> Duration {
    let heard = (count_interval(gateways) + COUNT_WAY).max(SETTLE);
    heard.min(due.mul_f64(1.0 - REPORT_SHARE))
}

fn each(pause: Duration, count: usize) -> Duration {
    pause * u32::try_from(count).unwrap_or(u32::MAX)
}
