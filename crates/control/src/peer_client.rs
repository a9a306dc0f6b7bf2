//! Control requests to other processes.

use std::fmt;
use std::rc;
use std::time;

use azuregap_wire::control;
use futures::future;
use futures::future::FutureExt as _;

use crate::mailbox;

/// The reply of a process, or `None` if it did not reply.
pub type Reply = Option<control::Message>;

type Send = dyn Fn(String, control::Body) -> future::LocalBoxFuture<'static, Reply>;

/// Sends control requests to processes by address.
#[derive(Clone)]
pub struct PeerClient {
    send: rc::Rc<Send>,
}

impl fmt::Debug for PeerClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerClient").finish_non_exhaustive()
    }
}

impl PeerClient {
    /// Creates a client that sends with `send`, which takes a `host:port` and the message body.
    pub fn new<F>(send: impl Fn(String, control::Body) -> F + 'static) -> Self
    where
        F: Future<Output = Reply> + 'static,
    {
        Self { send: rc::Rc::new(move |address, body| send(address, body).boxed_local()) }
    }

    /// Creates a client that sends through `mailbox` and waits at most `timeout` for each reply.
    #[must_use]
    pub fn mailbox(mailbox: mailbox::Mailbox, timeout: time::Duration) -> Self {
        Self::new(move |address: String, body| {
            let mailbox = mailbox.clone();
            async move { mailbox.request(&address, body, timeout).await.ok() }
        })
    }

    /// Sends `body` to the process at `address`; returns `None` if it did not reply.
    pub async fn request(&self, address: &str, body: control::Body) -> Reply {
        (self.send)(address.to_owned(), body).await
    }
}
