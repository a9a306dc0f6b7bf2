//! The stored row of an order.

use azuregap_core::ids;
use azuregap_platform::orders;
use azuregap_wire::control;
use serde::Deserialize;
use serde::Serialize;

/// Key prefix of order rows.
pub const KEY_PREFIX: &str = "order/";

/// Row key of the order with `id`.
#[must_use]
pub fn row_key(id: &str) -> String {
    format!("{KEY_PREFIX}{id}")
}

/// Value of an order row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRow {
    /// Order id, the same for every send.
    pub id: ids::OrderId,
    /// Fencing token under which the order was written.
    pub fence: ids::Fence,
    /// Backend server that the order applies to.
    pub backend: ids::BackendId,
    /// Availability zone of the backend server.
    pub zone: ids::ZoneId,
    /// Requested action.
    pub action: OrderAction,
    /// Progress of the order.
    pub state: OrderState,
    /// Creation time, in seconds since the Unix epoch.
    pub made: u64,
}

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Start the backend server; sent to the platform.
    Start {
        /// Pool of the backend server.
        pool: ids::PoolId,
    },
    /// Stop the backend server; sent to the platform.
    Stop,
    /// An action that the agent of the backend server executes.
    Agent(control::Action),
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// Not acknowledged; it may or may not have been executed.
    Open,
    /// Acknowledged.
    Taken,
    /// Acknowledged, and the backend server has since appeared in the VM list.
    Seen,
}

impl OrderRow {
    /// Whether the order starts a backend server.
    #[must_use]
    pub const fn is_start(&self) -> bool {
        matches!(self.action, OrderAction::Start { .. })
    }

    /// The platform order under `fence`; `None` for an order to an agent.
    #[must_use]
    pub fn zone_order(&self, fence: ids::Fence) -> Option<orders::ZoneOrder> {
        let backend = self.backend.clone();
        let action = match &self.action {
            OrderAction::Start { pool } => {
                orders::ZoneAction::Start { backend, pool: pool.clone() }
            }
            OrderAction::Stop => orders::ZoneAction::Stop { backend },
            OrderAction::Agent(_) => return None,
        };
        Some(orders::ZoneOrder { id: self.id.clone(), fence, zone: self.zone.clone(), action })
    }

    /// The agent order under `fence`; `None` for an order to the platform.
    #[must_use]
    pub fn agent_order(&self, fence: ids::Fence) -> Option<control::Order> {
        match &self.action {
            OrderAction::Agent(action) => {
                Some(control::Order { id: self.id.clone(), fence, action: action.clone() })
            }
            OrderAction::Start { .. } | OrderAction::Stop => None,
        }
    }
}
