//! What an agent does with an order that comes to it.

use std::collections;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_wire::control;

/// Orders whose ids are remembered.
const MAX_REMEMBERED_IDS: usize = 1_024;

/// What to do with an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Carry it out.
    Execute,
    /// It was carried out before: acknowledge it again.
    Duplicate,
    /// Refuse it with this code.
    Reject(code::Code),
}

/// Orders of one backend server, admitted one by one.
#[derive(Clone, Debug, Default)]
pub struct OrderFilter {
    fence: ids::Fence,
    admitted: collections::VecDeque<ids::OrderId>,
}

impl OrderFilter {
    /// A gate that has seen `fence` before, for example in the lease row when the agent started.
    #[must_use]
    pub const fn new(fence: ids::Fence) -> Self {
        Self { fence, admitted: collections::VecDeque::new() }
    }

    /// Decides on `order`. An order with a lower fencing number than one seen before is refused,
    /// also when it was carried out: its sender is not in charge any more.
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

    /// Notes that an order that was admitted certainly had no effect, so that it may run later.
    pub fn forget(&mut self, id: &ids::OrderId) {
        self.admitted.retain(|admitted| admitted != id);
    }

    /// The highest fencing number seen.
    #[must_use]
    pub const fn fence(&self) -> ids::Fence {
        self.fence
    }
}
