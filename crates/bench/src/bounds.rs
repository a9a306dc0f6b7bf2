//! The targets as regression bounds over the measures.

use serde::Serialize;

use crate::measure;
use crate::scenario;

/// Share of the top tier's requests that meet their targets in a burst of a lower tier.
const TOP_ATTAINED: f64 = 0.95;

/// Tokens of the worst-served team against the best, each over its fair share.
const TEAM_RATIO: f64 = 0.8;

/// Share of tokens wasted without faults.
const WASTED: f64 = 0.02;

/// Share of tokens wasted with one engine crash a minute.
const WASTED_CRASH: f64 = 0.05;

/// Goodput at twice the capacity against goodput at capacity.
const GOODPUT: f64 = 0.95;

/// Whole dispatches under the floor that a window may have, because it cuts off the count towards
/// one at its beginning; the floor predicate of [`azuregap_policy::queue`] allows for as much.
const FLOOR_MISSED: f64 = 1.0;

/// One bound with the value that was measured.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Check {
    /// What is bounded.
    pub name: &'static str,
    /// Deployment.
    pub deployment: &'static str,
    /// Scenario.
    pub scenario: scenario::Scenario,
    /// The value measured.
    pub value: f64,
    /// The bound.
    pub bound: f64,
    /// Whether the value must not be over the bound; else not under it.
    pub at_most: bool,
}

impl Check {
    /// How far the value is on the good side of the bound.
    #[must_use]
    pub fn margin(&self) -> f64 {
        if self.at_most { self.bound - self.value } else { self.value - self.bound }
    }

    /// Whether the bound holds.
    #[must_use]
    pub fn holds(&self) -> bool {
        self.margin() >= 0.0
    }
}

/// Checks the measures of one deployment under one system and seed.
#[must_use]
pub fn check(measures: &[measure::Measure]) -> Vec<Check> {
    let mut checks: Vec<Check> = measures.iter().flat_map(check_one).collect();
    checks.extend(check_goodput(measures));
    checks
}

fn check_one(seen: &measure::Measure) -> Vec<Check> {
    let check = |name, value, bound, at_most| {
        let (deployment, scenario) = (seen.deployment, seen.scenario);
        Check { name, deployment, scenario, value, bound, at_most }
    };
    let wasted = if seen.scenario == scenario::Scenario::Crash { WASTED_CRASH } else { WASTED };
    let mut checks = vec![check("worst-served team", seen.team_ratio, TEAM_RATIO, false)];
    if !seen.scenario.has_fault() || seen.scenario == scenario::Scenario::Crash {
        checks.push(check("wasted work", seen.wasted_share, wasted, true));
    }
    if seen.scenario == scenario::Scenario::LowerBurst {
        checks.push(check("top tier attained", seen.top().attained, TOP_ATTAINED, false));
    }
    if matches!(seen.scenario, scenario::Scenario::Overload | scenario::Scenario::TopBurst) {
        checks.push(check("floor missed", seen.lowest().floor_missed, FLOOR_MISSED, true));
    }
    checks
}

fn check_goodput(measures: &[measure::Measure]) -> Option<Check> {
    let of = |scenario| measures.iter().find(|seen| seen.scenario == scenario);
    let overload = of(scenario::Scenario::Overload)?;
    let capacity = of(scenario::Scenario::Capacity)?;
    Some(Check {
        name: "goodput",
        deployment: overload.deployment,
        scenario: overload.scenario,
        value: overload.goodput,
        bound: GOODPUT * capacity.goodput,
        at_most: false,
    })
}
