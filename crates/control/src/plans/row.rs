//! The row of a plan.

use std::time;

use azuregap_core::ids;
use azuregap_policy::plan;
use serde::Deserialize;
use serde::Serialize;

/// Prefix of the rows of plans.
pub const KEY_PREFIX: &str = "plan/";

/// How long a plan can be confirmed.
pub const PLAN_TTL: time::Duration = time::Duration::from_secs(15 * 60);

/// Key of the row of plan `id`.
#[must_use]
pub fn row_key(id: &str) -> String {
    format!("{KEY_PREFIX}{id}")
}

/// Value of the row of a plan.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PlanRow {
    /// Its id.
    pub id: ids::PlanId,
    /// Version of the configuration it was made from.
    pub base: ids::Version,
    /// The operator who made it.
    pub by: String,
    /// The declared intent as JSON text.
    pub text: String,
    /// What it changes, one path each.
    pub changes: Vec<String>,
    /// What will be done.
    pub plan: plan::Plan,
    /// When it can no longer be confirmed, in seconds since the Unix epoch.
    pub expires: u64,
    /// How far it is.
    pub state: PlanState,
}

/// How far a plan is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanState {
    /// It waits to be confirmed.
    Open,
    /// It was confirmed.
    Confirmed {
        /// The version it made.
        version: ids::Version,
        /// Who confirmed it.
        by: String,
    },
}
