//! Handle to the lease of this process.

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

/// Attempts at a transaction that conflicts with concurrent lease renewals.
const MAX_ATTEMPTS: usize = 8;

/// Delay before a retry, for the response to the concurrent renewal to arrive.
const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// The lease of this process. Clones share the same lease.
#[derive(Clone, Debug)]
pub struct LeaseHandle {
    key: String,
    timing: lease::Timing,
    lease: sync::Arc<sync::Mutex<lease::Lease>>,
}

impl LeaseHandle {
    /// Registry name.
    pub const NAME: &'static str = "holder";

    /// Creates a candidate for the lease `name`, which is stored in the row `lease/{name}`.
    #[must_use]
    pub fn new(name: &str, process: &process::Process, timing: lease::Timing) -> Self {
        let peer = &process.peer;
        let lease = lease::Lease::new(peer.node.clone(), peer.incarnation, timing);
        let lease = sync::Arc::new(sync::Mutex::new(lease));
        Self { key: format!("lease/{name}"), timing, lease }
    }

    /// Returns the key of the lease row.
    #[must_use]
    pub fn key(&self) -> &str {
        &self.key
    }

    /// Returns the fencing token if this process may act as the lease holder now.
    #[must_use]
    pub fn fencing_token(&self) -> Option<ids::Fence> {
        self.lock().fencing_token(time::Instant::now())
    }

    /// Returns the last known lease holder.
    #[must_use]
    pub fn holder(&self) -> Option<ids::NodeId> {
        self.lock().holder().map(ToOwned::to_owned)
    }

    /// Passes `event` to the lease state machine and returns the next action.
    pub(super) fn handle(&self, event: lease::Event) -> lease::Action {
        self.lock().handle(event, time::Instant::now())
    }

    /// Commits `transaction` if this process still holds the lease with the token `fence`.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] if the lease is lost, otherwise the errors of
    /// [`table::Table::commit`].
    pub async fn commit(
        &self,
        table: &table::Table,
        fence: ids::Fence,
        transaction: table::Transaction,
    ) -> error::PlatformResult<table::Commit> {
        for _ in 0..MAX_ATTEMPTS {
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
            time::sleep(RETRY_DELAY).await;
        }
        Err(not_holder())
    }

    /// Runs `call` while this process may act with the token `fence`, and at most for the send
    /// deadline of the lease timing. The lease is checked before every poll of the call, so that a
    /// process that was paused between two polls does not continue after it lost the lease.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] if the call was not started,
    /// [`error::PlatformError::Unknown`] if it was abandoned, otherwise the error of `call`.
    pub async fn send<T>(
        &self,
        fence: ids::Fence,
        call: impl Future<Output = error::PlatformResult<T>>,
    ) -> error::PlatformResult<T> {
        let deadline = time::Instant::now() + self.timing.send_deadline;
        let mut call = pin::pin!(call);
        let mut timer = pin::pin!(time::sleep_until(deadline));
        let mut started = false;
        future::poll_fn(move |context| {
            if self.fencing_token() != Some(fence) || time::Instant::now() >= deadline {
                return task::Poll::Ready(Err(if started { abandoned() } else { not_holder() }));
            }
            started = true;
            if let task::Poll::Ready(result) = call.poll_unpin(context) {
                return task::Poll::Ready(result);
            }
            timer.poll_unpin(context).map(|()| Err(abandoned()))
        })
        .await
    }

    fn row_version(&self, fence: ids::Fence) -> error::PlatformResult<u64> {
        if self.fencing_token() != Some(fence) {
            return Err(not_holder());
        }
        self.lock().row_version().ok_or_else(not_holder)
    }

    fn lock(&self) -> sync::MutexGuard<'_, lease::Lease> {
        self.lease.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

fn not_holder() -> error::PlatformError {
    let number = code::Code::NotHolder.number();
    error::PlatformError::Refused(format!("{number}: this process may not act"))
}

fn abandoned() -> error::PlatformError {
    error::PlatformError::Unknown("the time for the call is over".to_owned())
}
