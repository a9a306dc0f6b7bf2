//! Admission of incoming orders at an agent: fencing check and deduplication.

use std::collections;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_wire::control;

/// Most order ids kept for deduplication.
const MAX_REMEMBERED_IDS: usize = 1_024;

/// How to handle an incoming order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Execute it.
    Execute,
    /// It was executed before: acknowledge it again.
    Duplicate,
    /// Reject it with this code.
    Reject(code::Code),
}

/// Filters the orders of one backend server by fencing token and id.
#[derive(Clone, Debug, Default)]
pub struct OrderFilter {
    fence: ids::Fence,
    admitted: collections::VecDeque<ids::OrderId>,
}

impl OrderFilter {
    /// Creates a filter whose highest known fencing token is `fence`, for example from the lease
    /// row when the agent started.
    #[must_use]
    pub const fn new(fence: ids::Fence) -> Self {
        Self { fence, admitted: collections::VecDeque::new() }
    }

    /// Decides how to handle `order`. An order with a lower fencing token than one seen before is
    /// rejected, even if it was executed: its sender no longer holds the lease.
    pub fn admit(&mut self, order: &control::Order) -> Admission {
        if order.fence < self.fence {
            return Admission::Reject(code::Code::FenceOld);
        }
        self.fence = order.fence;
        if self.admitted.contains(&order.id) {
            return Admission::Duplicate;
        }
        self.admitted.push_back(order.id.clone());
        if self.admitted.len() > MAX_REMEMBERED_IDS {
            self.admitted.pop_front();
        }
        Admission::Execute
    }

    /// Removes the id of an admitted order that certainly had no effect, so that it can be
    /// executed later.
    pub fn forget(&mut self, id: &ids::OrderId) {
        self.admitted.retain(|admitted| admitted != id);
    }

    /// The highest fencing token seen.
    #[must_use]
    pub const fn fence(&self) -> ids::Fence {
        self.fence
    }
}
