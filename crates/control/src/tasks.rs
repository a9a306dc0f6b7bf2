//! Background tasks of a service that are joined or aborted together.

use std::cell;
use std::rc;
use std::time;

use futures::future;
use tokio::task;

/// The tasks of one service on the current thread. Clones share the same tasks.
#[derive(Clone, Debug, Default)]
pub struct Tasks {
    handles: rc::Rc<cell::RefCell<Vec<task::JoinHandle<()>>>>,
}

impl Tasks {
    /// Spawns `task`, which runs until it completes or [`Tasks::abort`] is called.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.handles.borrow_mut().push(task::spawn_local(task));
    }

    /// Waits for all tasks to complete and aborts those that still run after `timeout`.
    pub async fn join(&self, timeout: time::Duration) {
        let handles = std::mem::take(&mut *self.handles.borrow_mut());
        let aborts: Vec<_> = handles.iter().map(task::JoinHandle::abort_handle).collect();
        if tokio::time::timeout(timeout, future::join_all(handles)).await.is_err() {
            aborts.iter().for_each(task::AbortHandle::abort);
        }
    }

    /// Aborts every task at its next await point.
    pub fn abort(&self) {
        for handle in self.handles.borrow_mut().drain(..) {
            handle.abort();
        }
    }
}
