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

/// Recipients of the load at most, so that a load that is repeated at this interval stays valid.
pub const MAX_NEIGHBOURS: usize = 40;

/// Minimum interval between two load messages: a small part of the time for which a load is valid.
const MIN_LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Interval for each recipient of the load, so that the cost of receiving from all of them stays
/// the same.
const LOAD_INTERVAL_EACH: Duration = Duration::from_millis(12);

/// Minimum interval between two messages with usage counts in a large fleet.
const MIN_COUNT_INTERVAL: Duration = Duration::from_millis(600);

/// Interval for each gateway between two messages with usage counts: 500 messages per second take
/// two percent of a core of a gateway that receives all of them.
const COUNT_INTERVAL_EACH: Duration = Duration::from_millis(2);

/// Requests to a gateway that stay without an answer until it is considered silent.
const DISCOVERY_ROUNDS: u32 = 3;

/// Minimum delay from the end of a window until its counts have arrived: several messages of the
/// other gateways and the time in which a response is read.
const MIN_SETTLE_DELAY: Duration = Duration::from_millis(2_500);

/// Time for which counts may be in transit.
const COUNT_TRANSIT: Duration = Duration::from_millis(1_000);

/// Minimum time for which a load stays valid.
const MIN_LOAD_TTL: Duration = Duration::from_millis(1_200);

/// Number of intervals for which a load stays valid: one lost message doesn't make it expire.
const LOAD_TTL_INTERVALS: f64 = 2.5;

/// Interval between two load messages that are sent to `recipients` gateways.
///
/// Silent recipients, to which messages are sent as well, don't lengthen it beyond that for
/// [`MAX_NEIGHBOURS`].
#[must_use]
pub fn load_interval(recipients: usize) -> Duration {
    scale(LOAD_INTERVAL_EACH, recipients.min(MAX_NEIGHBOURS)).max(MIN_LOAD_INTERVAL)
}

/// Time for which the load and the time of day in a message stay valid, if messages are sent to
/// `recipients` gateways.
#[must_use]
pub fn load_ttl(recipients: usize) -> Duration {
    load_interval(recipients).mul_f64(LOAD_TTL_INTERVALS).max(MIN_LOAD_TTL)
}

/// Interval between two messages with usage counts in a fleet of `gateways`.
#[must_use]
pub fn count_interval(gateways: usize) -> Duration {
    scale(COUNT_INTERVAL_EACH, gateways).max(MIN_COUNT_INTERVAL)
}

/// Time in which a gateway that asks all others for their counts has received them.
#[must_use]
pub fn collection_time(gateways: usize) -> Duration {
    count_interval(gateways) + COUNT_TRANSIT
}

/// Time after which a gateway that asks all others for their counts has heard each of them that is
/// alive, even if messages were lost.
#[must_use]
pub fn discovery_time(gateways: usize) -> Duration {
    count_interval(gateways) * DISCOVERY_ROUNDS + COUNT_TRANSIT
}

/// Delay from the end of a window until the counts of all gateways that can be reached have arrived.
#[must_use]
pub fn settle_delay(gateways: usize) -> Duration {
    collection_time(gateways).max(MIN_SETTLE_DELAY)
}

fn scale(interval: Duration, count: usize) -> Duration {
    interval * u32::try_from(count).unwrap_or(u32::MAX)
}
