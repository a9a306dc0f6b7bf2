//! Partitions the model engines of a service between long prompts and short requests.
//!
//! An engine reads a long prompt in chunks between the tokens of the other requests that it runs,
//! so each long prompt lengthens the gaps between tokens of all streams on that engine to more than
//! callers tolerate. The engines are therefore partitioned in proportion to the current demand: in
//! a fixed order, the first engines serve short requests and the rest serve long ones. The
//! partition is a preference: engines of the other kind cost more and are used when the preferred
//! ones are full. This handles any mix of the two kinds that keeps the engines busy; if there is
//! only one kind, the engines are not partitioned.

use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

// The sizes are fixed: the partition counts engines of a service, and what differs between them is in
// their costs. All gateways must agree on the partition, which beliefs that differ would prevent.

/// Shortest prompt that counts as long, in tokens: two prefill chunks of the sample engines.
pub const LONG_PROMPT_TOKENS: u64 = 2_500;

/// Long requests that one engine serves well at the same time.
const LONG_PER_ENGINE: f64 = 2.0;

/// Short requests that one engine runs before the gaps between their tokens grow, if it has slots for
/// many more.
const SHORT_PER_ENGINE: f64 = 12.5;

/// Share of an engine's slots that short requests fill before the gaps between their tokens grow, if
/// it has few.
const SHORT_SLOT_SHARE: f64 = 0.375;

/// Share of an engine's slots that short requests fill if there are too few engines and their
/// streams bear it: a request that comes meanwhile finds a free one.
const DENSE_SLOT_SHARE: f64 = 0.7;

/// Streams bear more requests beside them while half of them use less than this part of the pause
/// that they tolerate.
const MAX_PAUSE_USE: f64 = 0.5;

/// Change of the estimate of the pause by one stream.
const PAUSE_STEP: f64 = 0.02;

/// Maximum share of the engines for the kind with the higher tier, if there are too few engines.
const MAX_SHARE: f64 = 0.35;

/// Weight of the newest request in the average tier of its kind.
const TIER_SMOOTHING: f64 = 0.05;

/// Time constant of the moving average of the demand.
const TIME_CONSTANT: Duration = Duration::from_millis(4_000);

/// The partition changes if it is off by more than this number of engines.
const HYSTERESIS: f64 = 1.5;

/// Demand for one service, of all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Long requests that run or wait.
    pub long: f64,
    /// Short requests that run or wait.
    pub short: f64,
}

/// Engines for short requests, out of `engines`, if the two kinds need `long` and `short` engines.
///
/// If there are too few engines, the kind with the higher tier gets what it needs up to
/// [`MAX_SHARE`], so that the other kind doesn't starve. Short requests then need only `dense`
/// engines: their gaps grow little by more of them, while engines that read long prompts without a
/// break make all of their streams late.
fn engines_for_short(long: f64, short: f64, dense: f64, engines: f64, prefers_short: bool) -> f64 {
    if long + short <= engines {
        return engines * short / (long + short);
    }
    let max = engines * MAX_SHARE;
    if prefers_short { dense.min(max) } else { engines - long.min(max) }
}

/// Average tier of each kind.
#[derive(Clone, Copy, Debug, Default)]
struct Tiers {
    long: f64,
    short: f64,
}

/// Partition of the engines of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct EnginePartition {
    demand: Demand,
    tiers: Tiers,
    updated_at: Option<time::Instant>,
    short_engines: Option<usize>,
    /// Median share of the tolerated pause that the streams of short requests leave unused; none
    /// until streams have shown it.
    spare_pause: f64,
}

impl EnginePartition {
    /// Creates a state in which the engines are not partitioned.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the average tier of one kind with the tier of a request.
    pub fn observe_tier(&mut self, is_long: bool, tier: ids::Tier) {
        let average = if is_long { &mut self.tiers.long } else { &mut self.tiers.short };
        *average += TIER_SMOOTHING * (f64::from(tier) - *average);
    }

    /// Records the longest pause in the stream of a short request, and what it tolerates.
    pub fn observe_pause(&mut self, longest: Duration, tolerated: Duration) {
        let share = longest.as_secs_f64() / tolerated.as_secs_f64().max(f64::EPSILON);
        let step = if share > 1.0 - self.spare_pause { -PAUSE_STEP } else { PAUSE_STEP };
        self.spare_pause = (self.spare_pause + step).clamp(0.0, 1.0);
    }

    /// Updates the demand and returns how many of `engines` serve short requests, or `None` if all
    /// of them serve both kinds.
    pub fn update(
        &mut self,
        demand: Demand,
        engines: usize,
        slots: u32,
        now: time::Instant,
    ) -> Option<usize> {
        self.average(demand, now);
        let long = self.demand.long / LONG_PER_ENGINE;
        let short_per_engine = SHORT_PER_ENGINE.min(f64::from(slots.max(1)) * SHORT_SLOT_SHARE);
        let short = self.demand.short / short_per_engine;
        let has_one_kind = long < 0.05 || short < 0.05;
        if engines < 2 || has_one_kind {
            self.short_engines = None;
            return None;
        }
        let dense = if 1.0 - self.spare_pause < MAX_PAUSE_USE {
            // Streams that have just come must not wait until the average has followed.
            let most = self.demand.short.max(demand.short);
            most / short_per_engine.max(f64::from(slots.max(1)) * DENSE_SLOT_SHARE)
        } else {
            short
        };
        let prefers_short = self.tiers.short <= self.tiers.long;
        let target = engines_for_short(long, short, dense, engines as f64, prefers_short);
        let current = self.short_engines.map(|current| current as f64);
        let changes = current.is_none_or(|current| (target - current).abs() > HYSTERESIS);
        if changes {
            self.short_engines = Some(target.round() as usize);
        }
        self.short_engines = self.short_engines.map(|count| count.clamp(1, engines - 1));
        self.short_engines
    }

    fn average(&mut self, demand: Demand, now: time::Instant) {
        let age = self.updated_at.map(|at| now.saturating_duration_since(at));
        let decay = age.map_or(0.0, |age| (-age.as_secs_f64() / TIME_CONSTANT.as_secs_f64()).exp());
        self.demand.long = demand.long + decay * (self.demand.long - demand.long);
        self.demand.short = demand.short + decay * (self.demand.short - demand.short);
        self.updated_at = Some(now);
    }
}
