//! Divides the model engines of a service between long prompts and streams.
//!
//! An engine reads a long prompt in chunks between the tokens of the requests that run there, so
//! each long prompt makes the pauses of all streams beside it longer than their callers bear. The
//! engines are therefore divided in the proportion of the work at hand: the first ones in a fixed
//! order serve short requests, the rest long ones. The division is a preference: an engine of the
//! other side costs more, and is used when the own side is full. This answers any mix of the two
//! that keeps engines busy; with one kind alone nothing is divided.

use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

/// A prompt from this length on is long, in tokens. Source: two chunks of the sample engines.
pub const LONG_PROMPT_TOKENS: u64 = 2_500;

/// Long requests that one engine serves well at once.
const LONG_EACH: f64 = 2.0;

/// Share of an engine's slots that short requests fill before their pauses grow.
const SHORT_FILL: f64 = 0.375;

/// Most engines that the kind of the higher tier gets when there are too few.
const MOST_SHARE: f64 = 0.35;

/// Weight of the newest request in the average tier of its kind.
const TIER_SMOOTHING: f64 = 0.05;

/// Time over which the work at hand is averaged.
const AVERAGE: Duration = Duration::from_millis(4_000);

/// The division moves when it is off by more than this many engines.
const SLACK: f64 = 1.5;

/// Work at hand for one service, of all gateways.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Long requests that run or wait.
    pub long: f64,
    /// Short requests that run or wait.
    pub short: f64,
}

/// Engines for short requests, of `engines` in all, if the kinds want `long` and `short` of them.
///
/// If there are too few, the kind of the higher tier gets what it wants, but leaves a part to the
/// other, which must not starve.
fn share(long: f64, short: f64, engines: f64, urgent_short: bool) -> f64 {
    if long + short <= engines {
        return engines * short / (long + short);
    }
    let most = engines * MOST_SHARE;
    if urgent_short { short.min(most) } else { engines - long.min(most) }
}

/// Average tier of each kind.
#[derive(Clone, Copy, Debug, Default)]
struct Tiers {
    long: f64,
    short: f64,
}

/// The division of one service's engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct EnginePartition {
    work: Demand,
    tiers: Tiers,
    updated: Option<time::Instant>,
    short_engines: Option<usize>,
}

impl EnginePartition {
    /// Nothing is divided yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the tier of a request of one kind.
    pub fn observe_tier(&mut self, is_long: bool, tier: ids::Tier) {
        let known = if is_long { &mut self.tiers.long } else { &mut self.tiers.short };
        *known += TIER_SMOOTHING * (f64::from(tier) - *known);
    }

    /// Takes the work at hand and returns how many of `engines` serve short requests, or none if
    /// all serve both.
    pub fn update(
        &mut self,
        work: Demand,
        engines: usize,
        slots: u32,
        now: time::Instant,
    ) -> Option<usize> {
        self.average(work, now);
        let long = self.work.long / LONG_EACH;
        let short = self.work.short / (f64::from(slots.max(1)) * SHORT_FILL);
        let idle = long < 0.05 || short < 0.05;
        if engines < 2 || idle {
            self.short_engines = None;
            return None;
        }
        let wanted = share(long, short, engines as f64, self.tiers.short <= self.tiers.long);
        let known = self.short_engines.map(|known| known as f64);
        let moves = known.is_none_or(|known| (wanted - known).abs() > SLACK);
        if moves {
            self.short_engines = Some(wanted.round() as usize);
        }
        self.short_engines = self.short_engines.map(|count| count.clamp(1, engines - 1));
        self.short_engines
    }

    fn average(&mut self, work: Demand, now: time::Instant) {
        let age = self.updated.map(|at| now.saturating_duration_since(at));
        let keep = age.map_or(0.0, |age| (-age.as_secs_f64() / AVERAGE.as_secs_f64()).exp());
        self.work.long = work.long + keep * (self.work.long - work.long);
        self.work.short = work.short + keep * (self.work.short - work.short);
        self.updated = Some(now);
    }
}
