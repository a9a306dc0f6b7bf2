//! The interface that orders backend servers by availability zone.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_platform::error;
use azuregap_platform::orders;
use serde::Deserialize;
use serde::Serialize;

use crate::service;

/// Orders that came and what runs because of them.
#[derive(Clone, Debug, Default)]
pub struct State {
    checks_fence: bool,
    highest: ids::Fence,
    taken: collections::HashSet<ids::OrderId>,
    running: collections::BTreeMap<ids::BackendId, Running>,
    log: Vec<Entry>,
}

/// A backend server that runs, and costs money.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Running {
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// Its pool.
    pub pool: ids::PoolId,
}

/// One order as it came, in the order of arrival.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The order.
    pub order: orders::ZoneOrder,
    /// What became of it.
    pub outcome: Outcome,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Carried out.
    Taken,
    /// Carried out before, under the same id.
    Repeated,
    /// Refused for an old fencing number.
    Refused,
}

/// The ordering interface behind its fault switches.
pub type Orders = service::Service<State>;

impl State {
    /// An interface that refuses orders with an old fencing number, or takes them all the same.
    #[must_use]
    pub fn new(checks_fence: bool) -> Self {
        Self { checks_fence, ..Self::default() }
    }

    /// Carries out one order.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] when it checks fencing numbers and this one is old.
    pub fn apply(&mut self, order: orders::ZoneOrder) -> error::PlatformResult<orders::OrderTaken> {
        let outcome = self.judge(&order);
        self.highest = self.highest.max(order.fence);
        self.log.push(Entry { order: order.clone(), outcome });
        match outcome {
            Outcome::Refused => {
                let reason = format!("fencing number {} after {}", order.fence, self.highest);
                Err(error::PlatformError::Refused(reason))
            }
            Outcome::Repeated => Ok(orders::OrderTaken { id: order.id, repeated: true }),
            Outcome::Taken => {
                self.carry_out(&order);
                Ok(orders::OrderTaken { id: order.id, repeated: false })
            }
        }
    }

    /// Every order that came, in the order of arrival.
    #[must_use]
    pub fn log(&self) -> &[Entry] {
        &self.log
    }

    /// The backend servers that run now.
    #[must_use]
    pub const fn running(&self) -> &collections::BTreeMap<ids::BackendId, Running> {
        &self.running
    }

    /// Orders that came after one with a higher fencing number.
    #[must_use]
    pub fn regressions(&self) -> Vec<Entry> {
        let mut highest = 0;
        let old = |entry: &&Entry| {
            let old = entry.order.fence < highest;
            highest = highest.max(entry.order.fence);
            old
        };
        self.log.iter().filter(old).cloned().collect()
    }

    fn judge(&self, order: &orders::ZoneOrder) -> Outcome {
        if self.checks_fence && order.fence < self.highest {
            Outcome::Refused
        } else if self.taken.contains(&order.id) {
            Outcome::Repeated
        } else {
            Outcome::Taken
        }
    }

    fn carry_out(&mut self, order: &orders::ZoneOrder) {
        self.taken.insert(order.id.clone());
        match &order.action {
            orders::ZoneAction::Start { backend, pool } => {
                let running = Running { zone: order.zone.clone(), pool: pool.clone() };
                self.running.insert(backend.clone(), running);
            }
            orders::ZoneAction::Stop { backend } => {
                self.running.remove(backend);
            }
        }
    }
}

impl Orders {
    /// An in-process client that waits at most `timeout` for an answer.
    #[must_use]
    pub fn client(&self, timeout: time::Duration) -> orders::Orders {
        let service = self.clone();
        orders::Orders::new(move |order| {
            let service = service.clone();
            let take = move |state: &mut State| state.apply(order);
            async move { service.call_within(timeout, service::Effect::Change, take).await }
        })
    }

    /// Carries out one order that came over HTTP.
    pub(crate) async fn serve(
        &self,
        order: orders::ZoneOrder,
    ) -> error::PlatformResult<orders::OrderTaken> {
        self.call(service::Effect::Change, move |state| state.apply(order)).await
    }
}
