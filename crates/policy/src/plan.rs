//! The planner: which backend servers start, stop, move or are refused, within the spend.
//!
//! [`plan`] is a pure function of what operators declared, the backend servers there are or may
//! be, and the estimated demand. It keeps these rules:
//!
//! * No start is ready unless the zone's spend covers it together with everything that runs,
//!   leaves or was ordered there; an order whose answer is lost counts as taken.
//! * What the spend cannot cover is refused by tier from below. The first replica of every pool
//!   goes before the rest, so that no class is left without any.
//! * Between [`UTILISATION_LOW`] and [`UTILISATION_HIGH`] the number of replicas stays as it is.
//! * No zone holds more than half of a pool's replicas while another zone has room; among the
//!   zones that are left the cheapest goes first.
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
mod cost;
mod demand;
mod demand_estimate;
mod inputs;
mod ledger;
mod placement;
mod step;
mod target;
mod unit;

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

/// What is to be done, what it costs and what it means for service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// Steps, refusals last.
    pub steps: Vec<Step>,
    /// Cost once every step was taken.
    pub cost: Cost,
    /// Share of the demand that can be served, by pool and class.
    pub attainment: Vec<Attainment>,
}

/// Makes the plan for `inputs`.
#[must_use]
pub fn plan(inputs: &Inputs<'_>) -> Plan {
    let units = target::units(inputs);
    let placed = placement::place(inputs, &units);
    let attainment = attainment::attainment(inputs, &placed.replicas);
    Plan { steps: placed.steps, cost: placed.cost, attainment }
}
