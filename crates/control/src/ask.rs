//! Asking other processes.

use std::fmt;
use std::rc;
use std::time;

use azuregap_wire::control;
use futures::future;
use futures::future::FutureExt as _;

use crate::mailbox;

/// The answer of a process, if there was one.
pub type Answer = Option<control::Message>;

type Carry = dyn Fn(String, control::Body) -> future::LocalBoxFuture<'static, Answer>;

/// Asks the process at an address.
#[derive(Clone)]
pub struct Ask {
    carry: rc::Rc<Carry>,
}

impl fmt::Debug for Ask {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Ask").finish_non_exhaustive()
    }
}

impl Ask {
    /// Asks by `carry`, which takes a `host:port` and the body of the message.
    pub fn new<F>(carry: impl Fn(String, control::Body) -> F + 'static) -> Self
    where
        F: Future<Output = Answer> + 'static,
    {
        Self { carry: rc::Rc::new(move |address, body| carry(address, body).boxed_local()) }
    }

    /// Asks by `mailbox` and waits at most `timeout`.
    #[must_use]
    pub fn mailbox(mailbox: mailbox::Mailbox, timeout: time::Duration) -> Self {
        Self::new(move |address: String, body| {
            let mailbox = mailbox.clone();
            async move { mailbox.ask(&address, body, timeout).await.ok() }
        })
    }

    /// Asks the process at `address`; none when it did not answer.
    pub async fn ask(&self, address: &str, body: control::Body) -> Answer {
        (self.carry)(address.to_owned(), body).await
    }
}
