//! The representation of a plan in the operator API.

use azuregap_core::ids;
use azuregap_policy::plan;
use serde::Deserialize;
use serde::Serialize;

use super::row;

/// The representation of a plan in the operator API.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanView {
    /// Plan id, used to confirm it.
    pub id: ids::PlanId,
    /// Configuration version that the plan is based on.
    pub base: ids::Version,
    /// Operator who created the plan.
    pub by: String,
    /// `open`, `confirmed` or `expired`.
    pub state: String,
    /// Configuration version that the confirmation created, if confirmed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<ids::Version>,
    /// Paths that the plan changes.
    pub changes: Vec<String>,
    /// Planned starts, stops, moves and refusals.
    pub steps: Vec<plan::Step>,
    /// Cost after every step is completed.
    pub cost: plan::Cost,
    /// Expected attainment.
    pub attainment: Vec<plan::Attainment>,
    /// Expiry time, in seconds since the Unix epoch.
    pub expires: u64,
}

impl PlanView {
    /// Builds the view of `row` at `now`, in seconds since the Unix epoch.
    #[must_use]
    pub fn new(row: row::PlanRow, now: u64) -> Self {
        let (state, version) = match &row.state {
            row::PlanState::Confirmed { version, .. } => ("confirmed", Some(*version)),
            row::PlanState::Open if now >= row.expires => ("expired", None),
            row::PlanState::Open => ("open", None),
        };
        Self {
            id: row.id,
            base: row.base,
            by: row.by,
            state: state.to_owned(),
            version,
            changes: row.changes,
            steps: row.plan.steps,
            cost: row.plan.cost,
            attainment: row.plan.attainment,
            expires: row.expires,
        }
    }
}
