//! Calls to the store whose responses may be long; see [`crate::decision::transfer`].

use std::rc;
use std::time::Duration;

use azuregap_coordination::ids;
use futures::future;
use tokio::sync;
use tokio::time;

use crate::decision::transfer;
use crate::store;

/// Timeout for the first part of a table.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which the store is asked whether there is something newer than what is arriving.
const LONG_TRANSFER: Duration = Duration::from_millis(200);

/// Longest time that the store waits for something newer.
const NEWER_WAIT: Duration = Duration::from_secs(2);

/// Rows of a table, and for how long the response arrived.
pub(super) struct Response {
    pub(super) rows: store::Rows,
    pub(super) duration: Duration,
}

/// A call whose response is arriving.
struct Call {
    rows: store::StoreFuture<store::Rows>,
    progress: store::Progress,
}

impl Call {
    fn watch(
        store: &store::Store,
        table: store::Table,
        since: ids::RowVersion,
        wait: Duration,
    ) -> Self {
        let progress = store::start_progress(wait + transfer::STALL_TIMEOUT);
        Self { rows: (store.watch)(table, since, wait, progress.clone()), progress }
    }

    /// Waits for the response, as long as it makes progress.
    async fn finish(self) -> Result<Response, store::StoreError> {
        let rows = tokio::select! {
            biased;
            rows = self.rows => rows?,
            () = wait_for_stall(&self.progress) => return Err(stalled()),
        };
        let transfer = *self.progress.borrow();
        let duration = transfer.duration(time::Instant::now());
        if duration > LONG_TRANSFER {
            let transfer_ms = duration.as_millis() as u64;
            tracing::info!(bytes = transfer.received(), transfer_ms, "long response of the store");
        }
        Ok(Response { rows, duration })
    }
}

fn stalled() -> store::StoreError {
    store::StoreError::OutcomeUnknown("no response, or it stalled".to_owned())
}

/// Waits until a response has stalled.
async fn wait_for_stall(progress: &store::Progress) {
    loop {
        let stalls_at = progress.borrow().stalls_at();
        if time::Instant::now() >= stalls_at {
            return;
        }
        time::sleep_until(stalls_at).await;
    }
}

/// Reads a whole table.
///
/// # Errors
///
/// If the store doesn't respond, or its response stalls.
pub(super) async fn read(
    store: &store::Store,
    table: store::Table,
) -> Result<Response, store::StoreError> {
    let progress = store::start_progress(READ_TIMEOUT);
    Call { rows: (store.read)(table, progress.clone()), progress }.finish().await
}

/// Waits up to `wait` for changes of a table after a version. `bound` is the time within which changes
/// are to be known: a response that takes long is given up for a newer one that wouldn't be there in
/// time otherwise. Returns `None` if `refresh` is notified before there is a response; one that is
/// arriving isn't begun again.
///
/// # Errors
///
/// If the store doesn't respond, or its response stalls.
pub(super) async fn watch(
    store: &rc::Rc<store::Store>,
    table: store::Table,
    since: ids::RowVersion,
    wait: Duration,
    bound: Duration,
    refresh: &sync::Notify,
) -> Result<Option<Response>, store::StoreError> {
    let mut wait = wait;
    let mut missing_since = None;
    loop {
        let call = Call::watch(store, table, since, wait);
        let progress = call.progress.clone();
        let superseded = wait_until_superseded(store, table, &progress, &mut missing_since, bound);
        tokio::select! {
            biased;
            response = call.finish() => return response.map(Some),
            () = wait_for_refresh(refresh, &progress), if !wait.is_zero() => return Ok(None),
            () = superseded => {
                tracing::info!(?table, "a response of the store is given up for a newer one");
                wait = Duration::ZERO;
            }
        }
    }
}

/// Waits for a refresh before the head of a response; for ever once that has arrived.
async fn wait_for_refresh(refresh: &sync::Notify, progress: &store::Progress) {
    refresh.notified().await;
    if progress.borrow().has_begun() {
        future::pending::<()>().await;
    }
}

/// Waits until a response is given up for a newer one; for ever if it isn't. `missing_since` is set
/// when the first of the responses that are given up begins.
async fn wait_until_superseded(
    store: &rc::Rc<store::Store>,
    table: store::Table,
    progress: &store::Progress,
    missing_since: &mut Option<time::Instant>,
    bound: Duration,
) {
    let mut head = progress.subscribe();
    // The sender outlives this future.
    let _ = head.wait_for(transfer::Transfer::has_begun).await;
    let missing_since = *missing_since.get_or_insert_with(time::Instant::now);
    time::sleep(LONG_TRANSFER).await;
    // What is arriving is at most as new as this version.
    if let Ok(version) = (store.version)().await {
        let newer = Call::watch(store, table, version, NEWER_WAIT);
        let newer_progress = newer.progress.clone();
        let mut newer_head = newer_progress.subscribe();
        let has_begun = tokio::select! {
            biased;
            begun = newer_head.wait_for(transfer::Transfer::has_begun) => begun.is_ok(),
            _ = newer.finish() => false,
        };
        let (older, newer, now) =
            (*progress.borrow(), *newer_progress.borrow(), time::Instant::now());
        if has_begun && older.is_superseded(&newer, missing_since, bound, now) {
            return;
        }
    }
    future::pending::<()>().await;
}
