//! Orders from operators to agents: model loads and role changes.

use azuregap_core::ids;
use azuregap_platform::error;
use azuregap_platform::table;
use azuregap_wire::control;
use serde::Deserialize;
use serde::Serialize;

use super::row;
use crate::configuration;
use crate::failure;
use crate::holder;
use crate::keys;

/// Most attempts at writing the row when responses are lost.
const MAX_ATTEMPTS: usize = 3;

/// An operator's order to the agent of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case", deny_unknown_fields)]
pub enum AgentOrder {
    /// Load a model or adapter at a version.
    Load {
        /// Name of the model or adapter.
        name: String,
        /// Its version.
        version: String,
    },
    /// Change the role of the engine.
    Role {
        /// The role, for example `prefill` or `decode`.
        role: String,
    },
}

impl From<AgentOrder> for row::OrderAction {
    fn from(order: AgentOrder) -> Self {
        Self::Agent(match order {
            AgentOrder::Load { name, version } => control::Action::Load { name, version },
            AgentOrder::Role { role } => control::Action::Role(role),
        })
    }
}

/// Stores the row of an order to an agent, if this process holds the lease. The next placement
/// round sends it, with the same id until the agent acknowledges it.
///
/// # Errors
///
/// [`failure::Failure::NotHolder`] if another process holds the lease;
/// [`failure::Failure::OutcomeUnknown`] if the table service returned no result.
pub async fn submit_agent_order(
    holder: &holder::LeaseHandle,
    source: &configuration::Source,
    order: row::OrderRow,
) -> Result<row::OrderRow, failure::Failure> {
    let not_holder = || failure::Failure::NotHolder(holder.holder().unwrap_or_default());
    let fence: ids::Fence = holder.fencing_token().ok_or_else(not_holder)?;
    let order = row::OrderRow { fence, ..order };
    let key = row::row_key(&order.id);
    let value = keys::row_json(&order).map_err(failure::Failure::unavailable)?;
    let transaction = table::Transaction::new().check(key.clone(), 0).put(key, value);
    let mut lost = None;
    for _ in 0..MAX_ATTEMPTS {
        match holder.commit(source.table(), fence, transaction.clone()).await {
            // A conflict means that an earlier attempt was applied.
            Ok(_) => return Ok(order),
            Err(error::PlatformError::Unknown(reason)) => lost = Some(reason),
            Err(error::PlatformError::Refused(_)) if lost.is_none() => return Err(not_holder()),
            Err(error::PlatformError::Refused(_)) => break,
        }
    }
    Err(failure::Failure::OutcomeUnknown(format!(
        "order {}: {}",
        order.id,
        lost.unwrap_or_default()
    )))
}
