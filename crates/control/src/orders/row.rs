//! The row of an order.

use azuregap_core::ids;
use azuregap_platform::orders;
use azuregap_wire::control;
use serde::Deserialize;
use serde::Serialize;

/// Prefix of the rows of orders.
pub const KEY_PREFIX: &str = "order/";

/// Key of the row of order `id`.
#[must_use]
pub fn row_key(id: &str) -> String {
    format!("{KEY_PREFIX}{id}")
}

/// Value of the row of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderRow {
    /// Its id, the same over all sends.
    pub id: ids::OrderId,
    /// Fencing number it was written under.
    pub fence: ids::Fence,
    /// The backend server it is about.
    pub backend: ids::BackendId,
    /// Zone of the backend server.
    pub zone: ids::ZoneId,
    /// What it asks for.
    pub action: OrderAction,
    /// How far it is.
    pub state: OrderState,
    /// When it was written, in seconds since the Unix epoch.
    pub made: u64,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderAction {
    /// Start the backend server, asked of the platform.
    Start {
        /// The pool.
        pool: ids::PoolId,
    },
    /// Stop the backend server, asked of the platform.
    Stop,
    /// Something the agent beside it carries out.
    Agent(control::Action),
}

/// How far an order is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// It may or may not have been carried out.
    Open,
    /// It was acknowledged.
    Taken,
    /// It was acknowledged, and the backend server was seen in the list of VMs since.
    Seen,
}

impl OrderRow {
    /// Whether it asks for a start.
    #[must_use]
    pub const fn is_start(&self) -> bool {
        matches!(self.action, OrderAction::Start { .. })
    }

    /// The order to the platform under `fence`; none for an order to an agent.
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

    /// The order to the agent under `fence`; none for an order to the platform.
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
