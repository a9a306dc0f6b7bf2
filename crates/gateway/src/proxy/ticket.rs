//! Guards that count requests while they live.

use std::rc;

use azuregap_core::ids;

use super::attempt;
use crate::decision::urgency;
use crate::directory;
use crate::state;

/// A request that is being served by this process.
#[derive(Debug)]
pub(super) struct Active {
    state: rc::Rc<state::State>,
}

impl Active {
    /// Counts a request until the guard is dropped.
    pub(super) fn new(state: &rc::Rc<state::State>) -> Self {
        state.active_requests.set(state.active_requests.get() + 1);
        Self { state: state.clone() }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.state.active_requests.set(self.state.active_requests.get().saturating_sub(1));
    }
}

/// A request that runs or waits at a backend server.
#[derive(Debug)]
pub(super) struct Ticket {
    state: rc::Rc<state::State>,
    backend: ids::BackendId,
    born: u64,
    rank: urgency::Rank,
    part: directory::Part,
    long: u32,
}

impl Ticket {
    /// Counts a request with unread prompt tokens at a backend server until the guard is dropped.
    pub(super) fn new(
        state: &rc::Rc<state::State>,
        target: &attempt::Target,
        rank: urgency::Rank,
        is_long: bool,
    ) -> Self {
        let part = directory::Part { running: 1, prefill: target.uncached };
        let (backend, born, long) = (target.id.clone(), target.born, u32::from(is_long));
        let ticket = Self { state: state.clone(), backend, born, rank, part, long };
        ticket.change(|load| {
            load.long += long;
            *load.rank_mut(rank) += part;
        });
        ticket
    }

    /// The prompt was read: the first event came.
    pub(super) fn started(&mut self) {
        let read = directory::Part { running: 0, prefill: self.part.prefill };
        self.part -= read;
        self.change(|load| *load.rank_mut(self.rank) -= read);
    }

    fn change(&self, change: impl FnOnce(&mut directory::Load)) {
        let mut directory = self.state.directory.borrow_mut();
        let known = directory.get_mut(&self.backend);
        if let Some(known) = known.filter(|known| known.backend.born == self.born) {
            change(&mut known.load);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.change(|load| {
            load.long = load.long.saturating_sub(self.long);
            *load.rank_mut(self.rank) -= self.part;
        });
        self.state.capacity_changed.notify_waiters();
    }
}
