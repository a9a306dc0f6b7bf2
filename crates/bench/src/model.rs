//! A small discrete-event model of entries, agents and backend servers, for policy measures only.

mod agent;
mod engine;
mod entry;
mod flow;
mod request;
mod simulation;

use crate::deployment;
use crate::scenario;
use crate::system;
use crate::workload;

pub use agent::Dispatch;
pub use engine::Engine;
pub use request::Request;
pub use request::State;

/// What came of a simulation.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Each request as it ended, in order of arrival.
    pub requests: Vec<Request>,
    /// Dispatches of each agent of the first pool.
    pub dispatches: Vec<Vec<Dispatch>>,
    /// Prefixes found in an engine's cache.
    pub hits: u64,
    /// Prefixes looked for.
    pub lookups: u64,
}

/// Requests a second of this class that its pool serves if it has no other work and every
/// prompt prefix is cached.
#[must_use]
pub fn capacity(deployment: &deployment::Deployment, class: usize) -> f64 {
    let work = &deployment.work[class];
    let pool = &deployment.pools[work.pool];
    let held = engine::service_time(pool, work.prompt, work.output);
    f64::from(pool.slots) * pool.replicas as f64 / held
}

/// Simulates a system under a scenario.
#[must_use]
pub fn simulate(
    deployment: &deployment::Deployment,
    scenario: scenario::Scenario,
    system: system::System,
    arrivals: &[workload::Arrival],
    seed: u64,
) -> Outcome {
    simulation::Simulation::new(deployment, scenario, system, arrivals, seed).run()
}
