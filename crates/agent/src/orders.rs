//! Admission and deduplication of orders for the backend server.
//!
//! All orders for a backend server go through its agent. The agent refuses an order whose fencing
//! token is lower than one it has seen, because not every backend server checks the token, and
//! executes each order id once.

use std::collections;
use std::sync;

use azuregap_control::orders;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_wire::control;

/// Result of an executed order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The order took effect.
    Done,
    /// The backend server refused the order, which had no effect.
    Refused(String),
    /// The call failed and the order may have taken effect. It is safe to send it again.
    Unknown(String),
}

/// Number of remembered outcomes; equal to the number of order ids that the filter remembers.
const MAX_OUTCOMES: usize = 1_024;

#[derive(Debug, Default)]
struct State {
    /// None until the newest fencing token was read; orders before that are ignored.
    filter: Option<orders::OrderFilter>,
    outcomes: collections::HashMap<ids::OrderId, Outcome>,
    /// Ids in `outcomes`, oldest first.
    oldest_first: collections::VecDeque<ids::OrderId>,
}

/// Admits orders and remembers their outcomes; clones share their state.
#[derive(Clone, Debug, Default)]
pub struct OrderTracker {
    state: sync::Arc<sync::Mutex<State>>,
}

impl OrderTracker {
    /// Starts to admit orders with a fencing token of at least `fence`.
    pub fn set_fence(&self, fence: ids::Fence) {
        self.lock().filter = Some(orders::OrderFilter::new(fence));
    }

    /// Replies to `order` and calls `execute` if it is to be executed now. The sender repeats the
    /// order under the same id until the reply holds its outcome.
    pub fn handle(
        &self,
        order: &control::Order,
        execute: impl Fn(control::Order),
    ) -> control::Body {
        let mut state = self.lock();
        let State { filter, outcomes, .. } = &mut *state;
        let Some(filter) = filter else { return control::Body::Done };
        match filter.admit(order) {
            orders::Admission::Reject(code) => {
                let message = format!("a fencing number above {} was seen", order.fence);
                control::Body::Failed { code, message }
            }
            orders::Admission::Execute => {
                execute(order.clone());
                control::Body::Done
            }
            orders::Admission::Duplicate => match outcomes.remove(&order.id) {
                None => control::Body::Done,
                Some(Outcome::Done) => {
                    outcomes.insert(order.id.clone(), Outcome::Done);
                    control::Body::OrderDone { id: order.id.clone() }
                }
                Some(Outcome::Refused(message)) => {
                    filter.forget(&order.id);
                    control::Body::Failed { code: code::Code::OrderRefused, message }
                }
                Some(Outcome::Unknown(_)) => {
                    execute(order.clone());
                    control::Body::Done
                }
            },
        }
    }

    /// Records the outcome of an order.
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
