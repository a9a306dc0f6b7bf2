//! Guards that count requests while they live.

use std::rc;

use azuregap_core::ids;

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
    prefill: u64,
    long: u32,
    is_late: bool,
}

impl Ticket {
    /// Counts a request with unread prompt tokens at a backend server until the guard is dropped.
    pub(super) fn new(
        state: &rc::Rc<state::State>,
        backend: ids::BackendId,
        born: u64,
        prefill: u64,
        is_long: bool,
        is_late: bool,
    ) -> Self {
        let long = u32::from(is_long);
        if let Some(known) = state.directory.borrow_mut().get_mut(&backend) {
            known.load.running += 1;
            known.load.long += long;
            known.load.prefill += prefill;
            known.load.late += if is_late { prefill } else { 0 };
        }
        Self { state: state.clone(), backend, born, prefill, long, is_late }
    }

    /// The prompt was read: the first event came.
    pub(super) fn started(&mut self) {
        let prefill = std::mem::take(&mut self.prefill);
        self.change(|load| self.read(load, prefill));
    }

    fn read(&self, load: &mut crate::directory::Load, prefill: u64) {
        load.prefill = load.prefill.saturating_sub(prefill);
        if self.is_late {
            load.late = load.late.saturating_sub(prefill);
        }
    }

    fn change(&self, change: impl FnOnce(&mut crate::directory::Load)) {
        let mut directory = self.state.directory.borrow_mut();
        let known = directory.get_mut(&self.backend);
        if let Some(known) = known.filter(|known| known.backend.born == self.born) {
            change(&mut known.load);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let (prefill, long) = (self.prefill, self.long);
        self.change(|load| {
            load.long = load.long.saturating_sub(long);
            load.running = load.running.saturating_sub(1);
            self.read(load, prefill);
        });
        self.state.changed.notify_waiters();
    }
}
