//! The planner: which backend servers to start, stop, move or refuse within the spending limits.
//!
//! [`plan`] is a pure function of the declared intent, the existing or pending backend servers and
//! the estimated demand. It keeps these rules:
//!
//! * A start is ready only if the zone's spending limit covers it together with every backend
//!   server that runs, leaves or was ordered there. An order whose result is unknown counts as
//!   carried out.
//! * What the spending limits don't cover is refused from the lowest tier up. The first replica of
//!   every pool comes before all others, so that no class is left without one.
//! * While the utilisation is between [`UTILISATION_LOW`] and [`UTILISATION_HIGH`], the number of
//!   replicas doesn't change.
//! * No zone holds more than half of a pool's replicas while another zone has capacity. Among the
//!   remaining zones the cheapest is preferred.
//!
//! ```
//! use azuregap_core::intent;
//! use azuregap_policy::plan;
//!
//! let intent = intent::Intent {
//!     pools: vec![intent::Pool {
//!         name: "advisor".into(),
//!         kind: intent::PoolKind::Model,
//!         slots: 8,
//!         throughput: 1_000,
//!         min_replicas: 1,
//!         max_replicas: 4,
//!     }],
//!     zones: vec![intent::Zone {
//!         name: "perth-north".into(),
//!         region: "perth-metro".into(),
//!         spend: 5_000_000,
//!         price: 2_000_000,
//!     }],
//!     ..intent::Intent::default()
//! };
//! let plan = plan::plan(&plan::Inputs::new(&intent));
//! assert_eq!(plan.steps.len(), 1);
//! assert_eq!(plan.cost.per_hour, 2_000_000);
//! ```

mod attainment;
mod backend;
mod budget;
mod cost;
mod demand;
mod demand_estimate;
mod inputs;
mod placement;
mod step;
mod target;
mod wanted;

pub use attainment::Attainment;
pub use backend::Backend;
pub use backend::BackendState;
pub use cost::Cost;
pub use cost::ZoneCost;
pub use demand::Demand;
pub use demand_estimate::DemandEstimate;
pub use inputs::Inputs;
pub use step::Action;
pub use step::Step;
pub use target::UTILISATION_HIGH;
pub use target::UTILISATION_LOW;

use serde::Deserialize;
use serde::Serialize;

/// Steps to take, with their cost and the share of the demand that can then be served.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// The steps; refusals come last.
    pub steps: Vec<Step>,
    /// Cost after every step.
    pub cost: Cost,
    /// Share of the demand that can be served, by pool and class.
    pub attainment: Vec<Attainment>,
}

/// Computes the plan for `inputs`.
#[must_use]
pub fn plan(inputs: &Inputs<'_>) -> Plan {
    let wanted = target::wanted_replicas(inputs);
    let placement = placement::place(inputs, &wanted);
    let attainment = attainment::attainment(inputs, &placement.replicas);
    Plan { steps: placement.steps, cost: placement.cost, attainment }
}
