//! The scenarios: how demand and the backend servers change over time.

use std::time::Duration;

use serde::Serialize;

use crate::deployment;
use crate::measure;
use crate::model;
use crate::system;
use crate::workload;

/// Virtual length of a scenario.
pub const LENGTH: Duration = Duration::from_secs(330);

/// Bursts, overload and the straggler begin here.
pub const FROM: Duration = Duration::from_secs(60);

/// Bursts and overload end here.
pub const UNTIL: Duration = Duration::from_secs(300);

/// Demand of a burst, in multiples of the pool's capacity.
const BURST: f64 = 4.0;

/// Demand of a quiet hour, in multiples of the pool's capacity.
const QUIET: f64 = 0.2;

/// How much slower than the others a straggler is.
pub const STRAGGLER: f64 = 10.0;

/// Time between two engine crashes.
pub const CRASH_INTERVAL: Duration = Duration::from_secs(60);

/// Time an engine takes to come back after a crash.
pub const RESTART: Duration = Duration::from_secs(20);

/// A scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// 70 in 100 of capacity.
    Normal,
    /// The model pool at its capacity.
    Capacity,
    /// The model pool at twice its capacity.
    Overload,
    /// The lower tier asks for four times the capacity.
    LowerBurst,
    /// The top tier asks for four times the capacity.
    TopBurst,
    /// One engine runs at a tenth of its speed.
    Straggler,
    /// The same at 20 in 100 of capacity, when the slow engine always has a free slot.
    QuietStraggler,
    /// One engine crashes each minute.
    Crash,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 8] = [
        Self::Normal,
        Self::Capacity,
        Self::Overload,
        Self::LowerBurst,
        Self::TopBurst,
        Self::Straggler,
        Self::QuietStraggler,
        Self::Crash,
    ];

    /// Name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Normal => "normal",
            Self::Capacity => "capacity",
            Self::Overload => "overload",
            Self::LowerBurst => "lower-burst",
            Self::TopBurst => "top-burst",
            Self::Straggler => "straggler",
            Self::QuietStraggler => "quiet-straggler",
            Self::Crash => "crash",
        }
    }

    /// Whether backend servers fail.
    #[must_use]
    pub const fn has_fault(self) -> bool {
        self.has_straggler() || matches!(self, Self::Crash)
    }

    /// Whether one engine is slow.
    #[must_use]
    pub const fn has_straggler(self) -> bool {
        matches!(self, Self::Straggler | Self::QuietStraggler)
    }

    /// Demand of a class at a time, in multiples of its normal demand.
    #[must_use]
    pub fn factor(self, deployment: &deployment::Deployment, class: usize, at: Duration) -> f64 {
        let work = &deployment.work[class];
        if work.pool != 0 || at < FROM || at >= UNTIL {
            return 1.0;
        }
        let normal: f64 =
            deployment.work.iter().filter(|other| other.pool == 0).map(|other| other.demand).sum();
        match self {
            Self::QuietStraggler => QUIET / normal,
            Self::Capacity => 1.0 / normal,
            Self::Overload => 2.0 / normal,
            Self::LowerBurst if work.class.tier > 0 => BURST / work.demand,
            Self::TopBurst if work.class.tier == 0 => BURST / work.demand,
            _ => 1.0,
        }
    }
}

/// Runs a scenario under a system.
#[must_use]
pub fn run(
    deployment: &deployment::Deployment,
    scenario: Scenario,
    system: system::System,
    seed: u64,
) -> measure::Measure {
    let arrivals = workload::arrivals(deployment, scenario, seed);
    let outcome = model::simulate(deployment, scenario, system, &arrivals, seed);
    measure::Measure::of(deployment, scenario, system, &arrivals, &outcome)
}
