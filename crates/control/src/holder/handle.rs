//! The handle to the lease of this process.

use std::future;
use std::pin;
use std::sync;
use std::task;

use azuregap_coordination::lease;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_platform::error;
use azuregap_platform::table;
use futures::future::FutureExt as _;
use tokio::time;

use crate::process;

/// How often a transaction is tried again because a renewal came between.
const RENEWALS: usize = 8;

/// How long to wait for the answer to a renewal that came between.
const RENEWING: std::time::Duration = std::time::Duration::from_millis(20);

/// The lease of this process; clones share it.
#[derive(Clone, Debug)]
pub struct LeaseHandle {
    key: String,
    terms: lease::Timing,
    lease: sync::Arc<sync::Mutex<lease::Lease>>,
}

impl LeaseHandle {
    /// Name in the registry.
    pub const NAME: &'static str = "holder";

    /// A candidate for the lease `name`, whose row is `lease/{name}`.
    #[must_use]
    pub fn new(name: &str, process: &process::Process, terms: lease::Timing) -> Self {
        let peer = &process.peer;
        let lease = lease::Lease::new(peer.node.clone(), peer.incarnation, terms);
        let lease = sync::Arc::new(sync::Mutex::new(lease));
        Self { key: format!("lease/{name}"), terms, lease }
    }

    /// Key of the lease row.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// The fencing number under which this process may act now, or none.
    #[must_use]
    pub fn fencing_token(&self) -> Option<ids::Fence> {
        self.lock().fencing_token(time::Instant::now())
    }

    /// The process in charge as far as this one knows.
    #[must_use]
    pub fn holder(&self) -> Option<ids::NodeId> {
        self.lock().holder().map(ToOwned::to_owned)
    }

    /// Feeds the lease.
    pub(super) fn handle(&self, event: lease::Event) -> lease::Action {
        self.lock().handle(event, time::Instant::now())
    }

    /// Applies `transaction` if the lease row still is this process's under `fence`.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] when the lease was lost, otherwise as
    /// [`table::Table::commit`].
    pub async fn commit(
        &self,
        table: &table::Table,
        fence: ids::Fence,
        transaction: table::Transaction,
    ) -> error::PlatformResult<table::Commit> {
        for _ in 0..RENEWALS {
            let version = self.row_version(fence)?;
            let guarded = transaction.clone().check(&self.key, version);
            let commit = self.send(fence, table.commit(guarded)).await?;
            let renewed = match &commit {
                table::Commit::Applied(_) => false,
                table::Commit::Conflict(rows) => rows.iter().all(|row| row.key == self.key),
            };
            if !renewed {
                return Ok(commit);
            }
            time::sleep(RENEWING).await;
        }
        Err(lost())
    }

    /// Carries `call` while this process may act under `fence` and no longer than the terms allow
    /// for a send. The lease is looked at before every step of the call, so that a process that
    /// was paused at any of them does not go on.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] when the call was never begun,
    /// [`error::PlatformError::Unknown`] when it was given up, otherwise what `call` gives.
    pub async fn send<T>(
        &self,
        fence: ids::Fence,
        call: impl Future<Output = error::PlatformResult<T>>,
    ) -> error::PlatformResult<T> {
        let until = time::Instant::now() + self.terms.send_deadline;
        let mut call = pin::pin!(call);
        let mut timer = pin::pin!(time::sleep_until(until));
        let mut begun = false;
        future::poll_fn(move |context| {
            if self.fencing_token() != Some(fence) || time::Instant::now() >= until {
                return task::Poll::Ready(Err(if begun { given_up() } else { lost() }));
            }
            begun = true;
            if let task::Poll::Ready(result) = call.poll_unpin(context) {
                return task::Poll::Ready(result);
            }
            timer.poll_unpin(context).map(|()| Err(given_up()))
        })
        .await
    }

    fn row_version(&self, fence: ids::Fence) -> error::PlatformResult<u64> {
        if self.fencing_token() != Some(fence) {
            return Err(lost());
        }
        self.lock().row_version().ok_or_else(lost)
    }

    fn lock(&self) -> sync::MutexGuard<'_, lease::Lease> {
        self.lease.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn lost() -> error::PlatformError {
    let number = code::Code::NotHolder.number();
    error::PlatformError::Refused(format!("{number}: this process may not act"))
}

fn given_up() -> error::PlatformError {
    error::PlatformError::Unknown("the time for the call is over".to_owned())
}
