//! Guards that count requests while they live.

use std::rc;

use azuregap_core::ids;

use super::attempt;
use crate::decision::priority;
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
        state.active.set(state.active.get() + 1);
        Self { state: state.clone() }
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.state.active.set(self.state.active.get().saturating_sub(1));
    }
}

/// A request that runs or waits at a backend server.
#[derive(Debug)]
pub(super) struct Ticket {
    state: rc::Rc<state::State>,
    backend: ids::BackendId,
    born: u64,
    rank: priority::Rank,
    part: directory::RankLoad,
    long: u32,
}

impl Ticket {
    /// Counts a request with unread prompt tokens at a backend server until the guard is dropped.
    pub(super) fn new(
        state: &rc::Rc<state::State>,
        target: &attempt::Target,
        rank: priority::Rank,
        is_long: bool,
    ) -> Self {
        let part = directory::RankLoad { in_flight: 1, pending_prefill: target.uncached };
        let (backend, born, long) = (target.id.clone(), target.born, u32::from(is_long));
        let ticket = Self { state: state.clone(), backend, born, rank, part, long };
        ticket.change(|load| {
            load.long_prompts += long;
            *load.rank_mut(rank) += part;
        });
        ticket
    }

    /// The prompt was read: the first event came.
    pub(super) fn started(&mut self) {
        let read = directory::RankLoad { in_flight: 0, pending_prefill: self.part.pending_prefill };
        self.part -= read;
        self.change(|load| *load.rank_mut(self.rank) -= read);
    }

    fn change(&self, change: impl FnOnce(&mut directory::Load)) {
        let mut directory = self.state.directory.borrow_mut();
        let known = directory.get_mut(&self.backend);
        if let Some(known) = known.filter(|known| known.backend.started_ms == self.born) {
            change(&mut known.own_load);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.change(|load| {
            load.long_prompts = load.long_prompts.saturating_sub(self.long);
            *load.rank_mut(self.rank) -= self.part;
        });
        self.state.changed.notify_waiters();
    }
}
