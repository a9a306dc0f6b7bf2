//! Orders to the engine.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// An order to the engine, posted as JSON to `/orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// Id, the same over all resends; an id is carried out once.
    pub id: ids::OrderId,
    /// Fencing number.
    pub fence: ids::Fence,
    /// What to do.
    pub action: EngineAction,
}

/// What an order asks of the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineAction {
    /// Load a model or adapter at a version.
    #[serde(alias = "Load")]
    Load {
        /// Name of the model or adapter.
        name: String,
        /// Its version.
        version: String,
    },
    /// Change the role, for example `prefill` or `decode`.
    #[serde(alias = "Role")]
    Role(String),
}

/// One order as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderEntry {
    /// The order.
    pub order: EngineOrder,
    /// Whether it was carried out; false when it was refused or a repeat.
    pub carried_out: bool,
}

/// Orders that came and what the engine is because of them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Orders {
    pub(crate) log: Vec<OrderEntry>,
    pub(crate) models: Vec<String>,
    pub(crate) role: String,
    highest: ids::Fence,
}

impl Orders {
    /// No orders yet, with the models that are there from the start.
    pub(crate) fn new(models: Vec<String>) -> Self {
        Self { models, ..Self::default() }
    }

    /// Whether an order with this fencing number is old.
    pub(crate) const fn is_old(&self, order: &EngineOrder) -> bool {
        order.fence < self.highest
    }

    /// Notes an order; answers whether it is to be carried out now.
    pub(crate) fn note(&mut self, order: &EngineOrder, refuse: bool) -> bool {
        let known = self.log.iter().any(|entry| entry.carried_out && entry.order.id == order.id);
        let carried_out = !refuse && !known;
        self.highest = self.highest.max(order.fence);
        self.log.push(OrderEntry { order: order.clone(), carried_out });
        carried_out
    }

    /// Carries an order out.
    pub(crate) fn carry_out(&mut self, action: EngineAction) {
        match action {
            EngineAction::Load { name, .. } if self.models.contains(&name) => {}
            EngineAction::Load { name, .. } => self.models.push(name),
            EngineAction::Role(role) => self.role = role,
        }
    }
}
