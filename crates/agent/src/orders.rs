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
const REMEMBERED: usize = 1_024;

#[derive(Debug, Default)]
struct State {
    /// None until the newest fencing number was read; no order is taken before.
    gate: Option<orders::OrderFilter>,
    ended: collections::HashMap<ids::OrderId, Outcome>,
    /// Ids in `ended`, the oldest first.
    order: collections::VecDeque<ids::OrderId>,
}

/// Admits orders and remembers how they ended; clones share both.
#[derive(Clone, Debug, Default)]
pub struct Orders {
    state: sync::Arc<sync::Mutex<State>>,
}

impl Orders {
    /// Takes orders from now on, but none with a fencing number below `fence`.
    pub fn open(&self, fence: ids::Fence) {
        self.lock().gate = Some(orders::OrderFilter::new(fence));
    }

    /// Answers `order`; calls `carry_out` if it is to be carried out now. The one who asked asks
    /// again under the same id until it hears the end.
    pub fn take(
        &self,
        order: &control::Order,
        carry_out: impl Fn(control::Order),
    ) -> control::Body {
        let mut state = self.lock();
        let State { gate, ended, .. } = &mut *state;
        let Some(gate) = gate else { return control::Body::Done };
        match gate.admit(order) {
            orders::Admission::Reject(code) => {
                let message = format!("a fencing number above {} was seen", order.fence);
                control::Body::Failed { code, message }
            }
            orders::Admission::Execute => {
                carry_out(order.clone());
                control::Body::Done
            }
            orders::Admission::Duplicate => match ended.remove(&order.id) {
                None => control::Body::Done,
                Some(Outcome::Done) => {
                    ended.insert(order.id.clone(), Outcome::Done);
                    control::Body::OrderDone { id: order.id.clone() }
                }
                Some(Outcome::Refused(message)) => {
                    gate.forget(&order.id);
                    control::Body::Failed { code: code::Code::OrderRefused, message }
                }
                Some(Outcome::Unknown(_)) => {
                    carry_out(order.clone());
                    control::Body::Done
                }
            },
        }
    }

    /// Notes how an order ended.
    pub fn settle(&self, id: &ids::OrderId, outcome: Outcome) {
        tracing::info!(order = id, outcome = ?outcome, "order decision");
        let mut state = self.lock();
        if state.ended.insert(id.clone(), outcome).is_none() {
            state.order.push_back(id.clone());
        }
        if state.order.len() > REMEMBERED
            && let Some(oldest) = state.order.pop_front()
        {
            state.ended.remove(&oldest);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
