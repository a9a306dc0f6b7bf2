//! All connections of clients.

use std::cell;
use std::collections;
use std::rc;
use std::time::Duration;

use tokio::sync;

use super::client;
use crate::decision::connection_limit;
use crate::decision::memory_budget;
use crate::state;

/// All connections of clients, by id.
#[derive(Debug, Default)]
pub struct Clients {
    open: cell::RefCell<collections::HashMap<memory_budget::HolderId, rc::Weak<client::Client>>>,
    last_id: cell::Cell<memory_budget::HolderId>,
    closed: sync::Notify,
}

impl Clients {
    /// Number of open connections.
    #[must_use]
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    pub(super) fn add(&self, state: &rc::Rc<state::State>) -> rc::Rc<client::Client> {
        self.last_id.set(self.last_id.get() + 1);
        let client = rc::Rc::new(client::Client::new(self.last_id.get(), state));
        self.open.borrow_mut().insert(client.id(), rc::Rc::downgrade(&client));
        client
    }

    pub(super) fn get(&self, id: memory_budget::HolderId) -> Option<rc::Rc<client::Client>> {
        self.open.borrow().get(&id)?.upgrade()
    }

    /// The connection that is closed for a new one, if any may be.
    pub(super) fn victim(&self) -> Option<rc::Rc<client::Client>> {
        let open = self.open.borrow();
        let clients = open.values().filter_map(rc::Weak::upgrade);
        let clients = clients.filter(|client| !client.is_evicted());
        connection_limit::pick_victim(clients.map(|client| (client.clone(), client.activity())))
    }

    /// For how long each client has taken nothing of the answer that it is owed.
    #[must_use]
    pub fn stalls(&self) -> Vec<Duration> {
        let open = self.open.borrow();
        open.values().filter_map(rc::Weak::upgrade).filter_map(|client| client.stalled()).collect()
    }

    /// Waits until a connection is closed.
    pub(super) async fn wait_for_close(&self) {
        self.closed.notified().await;
    }

    pub(super) fn remove(&self, id: memory_budget::HolderId) {
        self.open.borrow_mut().remove(&id);
        self.closed.notify_waiters();
    }
}
