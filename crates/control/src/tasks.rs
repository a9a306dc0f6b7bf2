//! Background tasks of a service, ended together.

use std::cell;
use std::rc;

use tokio::task;

/// Tasks of one service on the current thread; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Tasks {
    handles: rc::Rc<cell::RefCell<Vec<task::JoinHandle<()>>>>,
}

impl Tasks {
    /// Runs `task` until it ends or [`Tasks::abort`] is called.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.handles.borrow_mut().push(task::spawn_local(task));
    }

    /// Ends every task at its next await.
    pub fn abort(&self) {
        for handle in self.handles.borrow_mut().drain(..) {
            handle.abort();
        }
    }
}
