//! Orders that operators give to agents: loads and changes of role.

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

/// How often the row is tried when an answer is lost.
const ATTEMPTS: usize = 3;

/// What an operator asks of the backend server beside an agent.
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

/// Writes the row of an order to an agent, if this process is in charge. It is sent by the next
/// round of placement, under its own id until the agent acknowledges it.
///
/// # Errors
///
/// [`failure::Failure::NotHolder`] when another process is in charge, otherwise when the table
/// service gave no result.
pub async fn order_agent(
    holder: &holder::LeaseHandle,
    source: &configuration::Source,
    order: row::OrderRow,
) -> Result<row::OrderRow, failure::Failure> {
    let not_holder = || failure::Failure::NotHolder(holder.holder().unwrap_or_default());
    let fence: ids::Fence = holder.fencing_token().ok_or_else(not_holder)?;
    let order = row::OrderRow { fence, ..order };
    let key = row::order(&order.id);
    let value = keys::value(&order).map_err(failure::Failure::unread)?;
    let transaction = table::Transaction::new().check(key.clone(), 0).put(key, value);
    let mut lost = None;
    for _ in 0..ATTEMPTS {
        match holder.commit(source.table(), fence, transaction.clone()).await {
            // A conflict means that an earlier try was applied.
            Ok(_) => return Ok(order),
            Err(error::PlatformError::Unknown(reason)) => lost = Some(reason),
            Err(error::PlatformError::Refused(_)) if lost.is_none() => return Err(not_holder()),
            Err(error::PlatformError::Refused(_)) => break,
        }
    }
    Err(failure::Failure::Unsettled(format!("order {}: {}", order.id, lost.unwrap_or_default())))
}
