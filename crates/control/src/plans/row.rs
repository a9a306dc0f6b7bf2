//! The stored row of a plan.

use std::time;

use azuregap_core::ids;
use azuregap_policy::plan;
use serde::Deserialize;
use serde::Serialize;

/// Key prefix of plan rows.
pub const KEY_PREFIX: &str = "plan/";

/// Time after creation in which a plan can be confirmed.
pub const PLAN_TTL: time::Duration = time::Duration::from_secs(15 * 60);

/// Row key of the plan with `id`.
#[must_use]
pub fn row_key(id: &str) -> String {
    format!("{KEY_PREFIX}{id}")
}

/// Value of a plan row.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanRow {
    /// Plan id.
    pub id: ids::PlanId,
    /// Configuration version that the plan is based on.
    pub base: ids::Version,
    /// Operator who created the plan.
    pub by: String,
    /// The declared intent as JSON text.
    pub text: String,
    /// Paths that the plan changes.
    pub changes: Vec<String>,
    /// The planned steps.
    pub plan: plan::Plan,
    /// Expiry time, in seconds since the Unix epoch.
    pub expires: u64,
    /// Whether the plan is confirmed.
    pub state: PlanState,
}

/// State of a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanState {
    /// Not confirmed yet.
    Open,
    /// Confirmed.
    Confirmed {
        /// Configuration version that the confirmation created.
        version: ids::Version,
        /// Operator who confirmed the plan.
        by: String,
    },
}
