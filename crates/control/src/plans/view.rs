//! A plan as operators see it.

use azuregap_core::ids;
use azuregap_policy::plan;
use serde::Deserialize;
use serde::Serialize;

use super::row;

/// A plan as operators see it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanView {
    /// Its id, to confirm it by.
    pub id: ids::PlanId,
    /// Version of the configuration it was made from.
    pub base: ids::Version,
    /// The operator who made it.
    pub by: String,
    /// `open`, `confirmed` or `expired`.
    pub state: String,
    /// The version it made once it was confirmed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<ids::Version>,
    /// What it changes, one path each.
    pub changes: Vec<String>,
    /// What will start, stop, move or be refused.
    pub steps: Vec<plan::Step>,
    /// Cost once every step was taken.
    pub cost: plan::Cost,
    /// What it means for service.
    pub attainment: Vec<plan::Attainment>,
    /// When it can no longer be confirmed, in seconds since the Unix epoch.
    pub expires: u64,
}

impl PlanView {
    /// The view of `row` at `now`, in seconds since the Unix epoch.
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
