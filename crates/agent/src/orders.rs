//! Orders for the backend server that come through the agent.
//!
//! The agent is the one place that orders for its backend server go through. It refuses an order
//! whose fencing number is lower than one it has seen, also for a backend server that does not
//! check, and carries an id out once.

use std::collections;
use std::sync;

use azuregap_control::orders;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_wire::control;

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect.
    Done,
    /// The backend server refused it; it had no effect.
    Refused(String),
    /// No answer came; it may have had its effect. The same order may be sent again.
    Unknown(String),
}

/// Orders whose end is remembered; as many as the gate knows the ids of.
const MAX_OUTCOMES: usize = 1_024;

#[derive(Debug, Default)]
struct State {
    /// None until the newest fencing number was read; no order is taken before.
    gate: Option<orders::Gate>,
    outcomes: collections::HashMap<ids::OrderId, Outcome>,
    /// Ids in `ended`, the oldest first.
    oldest_first: collections::VecDeque<ids::OrderId>,
}

/// Admits orders and remembers how they ended; clones share both.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    state: sync::Arc<sync::Mutex<State>>,
}

impl OrderTracker {
    /// Takes orders from now on, but none with a fencing number below `fence`.
    pub fn set_fence(&self, fence: ids::Fence) {
        self.lock().gate = Some(orders::Gate::new(fence));
    }

    /// Answers `order`; calls `carry_out` if it is to be carried out now. The one who asked asks
    /// again under the same id until it hears the end.
    pub fn handle(
        &self,
        order: &control::Order,
        execute: impl Fn(control::Order),
    ) -> control::Body {
        let mut state = self.lock();
        let State { gate, outcomes, .. } = &mut *state;
        let Some(gate) = gate else { return control::Body::Done };
        match gate.admit(order) {
            orders::Admission::Refuse(code) => {
                let message = format!("a fencing number above {} was seen", order.fence);
                control::Body::Failed { code, message }
            }
            orders::Admission::Run => {
                execute(order.clone());
                control::Body::Done
            }
            orders::Admission::Repeat => match outcomes.remove(&order.id) {
                None => control::Body::Done,
                Some(Outcome::Done) => {
                    outcomes.insert(order.id.clone(), Outcome::Done);
                    control::Body::OrderDone { id: order.id.clone() }
                }
                Some(Outcome::Refused(message)) => {
                    gate.forget(&order.id);
                    control::Body::Failed { code: code::Code::OrderRefused, message }
                }
                Some(Outcome::Unknown(_)) => {
                    execute(order.clone());
                    control::Body::Done
                }
            },
        }
    }

    /// Notes how an order ended.
    pub fn record_outcome(&self, id: &ids::OrderId, outcome: Outcome) {
        tracing::info!(order = id, outcome = ?outcome, "order decision");
        let mut state = self.lock();
        if state.outcomes.insert(id.clone(), outcome).is_none() {
            state.oldest_first.push_back(id.clone());
        }
        if state.oldest_first.len() > MAX_OUTCOMES
            && let Some(oldest) = state.oldest_first.pop_front()
        {
            state.outcomes.remove(&oldest);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
