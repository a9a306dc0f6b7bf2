//! Stores orders, sends them and records their acknowledgement.

use std::rc;
use std::time;

use azuregap_core::ids;
use azuregap_platform::error;
use azuregap_platform::orders;
use azuregap_platform::table;
use azuregap_wire::control;
use futures::future;
use futures::future::FutureExt as _;
use tokio::time::Instant;

use super::rate_limiter;
use super::row;
use crate::holder;
use crate::keys;

/// Rows read per scan.
const PAGE_ROWS: usize = 500;

/// Minimum time between two loads of models, adapters or versions.
const LOAD_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Sends an order to the agent of a backend server.
type AgentSender =
    rc::Rc<dyn Fn(ids::BackendId, control::Order) -> future::LocalBoxFuture<'static, SendResult>>;

/// Result of sending an order.
type SendResult = error::PlatformResult<()>;

/// The functions that send orders to the platform and to agents.
#[derive(Clone)]
pub struct OrderSenders {
    orders: orders::Orders,
    agent: AgentSender,
}

impl std::fmt::Debug for OrderSenders {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("OrderSenders").finish_non_exhaustive()
    }
}

impl OrderSenders {
    /// Sends orders to the platform with `orders` and orders to agents with `agent`.
    #[must_use]
    pub fn new<F>(
        orders: orders::Orders,
        agent: impl Fn(ids::BackendId, control::Order) -> F + 'static,
    ) -> Self
    where
        F: Future<Output = SendResult> + 'static,
    {
        let agent = move |backend, order| agent(backend, order).boxed_local();
        Self { orders, agent: rc::Rc::new(agent) }
    }
}

/// Stores orders of the lease holder, sends them and records their acknowledgement.
#[derive(Debug)]
pub struct OrderDispatcher {
    holder: holder::LeaseHandle,
    table: table::Table,
    senders: OrderSenders,
    load_limiter: rate_limiter::RateLimiter,
    unresolved: Option<(ids::Fence, table::Transaction)>,
}

impl OrderDispatcher {
    /// Creates the dispatcher of the process that owns `holder`.
    #[must_use]
    pub const fn new(
        holder: holder::LeaseHandle,
        table: table::Table,
        senders: OrderSenders,
    ) -> Self {
        let load_limiter = rate_limiter::RateLimiter::new(LOAD_INTERVAL);
        Self { holder, table, senders, load_limiter, unresolved: None }
    }

    /// Reads every stored order with the version of its row. A write whose response was lost is
    /// repeated first, so that no decision is based on rows that may still appear.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] if the rows could not be read.
    pub async fn read_rows(
        &mut self,
        fence: ids::Fence,
    ) -> error::PlatformResult<Vec<(u64, row::OrderRow)>> {
        if let Some((written, transaction)) = self.unresolved.clone() {
            // A write under an earlier fencing token checks a lease row that no longer exists, so
            // it can't be applied any more.
            if written == fence {
                self.holder.commit(&self.table, fence, transaction).await?;
            }
            self.unresolved = None;
        }
        let mut rows: Vec<(u64, row::OrderRow)> = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.table.scan(row::KEY_PREFIX, after, PAGE_ROWS).await?;
            let full = page.len() == PAGE_ROWS;
            after = page.last().map(|row| row.key.clone()).unwrap_or_default();
            for row in page {
                let value = serde_json::from_value(row.value)
                    .map_err(|error| error::PlatformError::Refused(error.to_string()))?;
                rows.push((row.version, value));
            }
            if !full {
                return Ok(rows);
            }
        }
    }

    /// Stores new orders in one transaction that checks the lease row and that the configuration
    /// row is still at version `configuration`.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] if the orders were not written or the outcome is unknown;
    /// [`OrderDispatcher::read_rows`] then resolves it.
    pub async fn write(
        &mut self,
        fence: ids::Fence,
        configuration: u64,
        orders: &[row::OrderRow],
    ) -> error::PlatformResult<()> {
        let mut transaction =
            table::Transaction::new().check(crate::configuration::CURRENT, configuration);
        for order in orders {
            let key = row::row_key(&order.id);
            transaction = transaction.check(key.clone(), 0).put(key, keys::row_json(order)?);
        }
        self.apply(fence, transaction).await
    }

    /// Sends every open order once, with its own id and the current fencing token, and records
    /// the acknowledgements.
    pub async fn send_open(&mut self, fence: ids::Fence, rows: &mut [(u64, row::OrderRow)]) {
        for (version, row) in rows.iter_mut() {
            if row.state != row::OrderState::Open || !self.may_send(row) {
                continue;
            }
            let sent = self.send(fence, row).await;
            log_send(fence, row, &sent);
            if sent.is_ok() {
                row.state = row::OrderState::Taken;
                *version = self.update(fence, *version, row).await.unwrap_or(*version);
            }
        }
    }

    /// Stores the new state of an order and returns the new version of its row.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] if the state was not written or the outcome is unknown; the order
    /// is then processed again in its stored state.
    pub async fn update(
        &self,
        fence: ids::Fence,
        version: u64,
        order: &row::OrderRow,
    ) -> error::PlatformResult<u64> {
        let key = row::row_key(&order.id);
        let transaction =
            table::Transaction::new().check(key.clone(), version).put(key, keys::row_json(order)?);
        match self.holder.commit(&self.table, fence, transaction).await? {
            table::Commit::Applied(versions) => Ok(versions.first().copied().unwrap_or(version)),
            table::Commit::Conflict(_) => Err(error::PlatformError::Refused("changed".to_owned())),
        }
    }

    /// Deletes the rows of finished orders.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] if the rows may still exist.
    pub async fn delete(
        &self,
        fence: ids::Fence,
        orders: &[(u64, row::OrderRow)],
    ) -> error::PlatformResult<()> {
        let mut transaction = table::Transaction::new();
        for (version, order) in orders {
            let key = row::row_key(&order.id);
            transaction = transaction.check(key.clone(), *version).delete(key);
        }
        self.holder.commit(&self.table, fence, transaction).await.map(drop)
    }

    async fn apply(
        &mut self,
        fence: ids::Fence,
        transaction: table::Transaction,
    ) -> error::PlatformResult<()> {
        self.unresolved = Some((fence, transaction.clone()));
        let result = self.holder.commit(&self.table, fence, transaction).await;
        if !matches!(result, Err(error::PlatformError::Unknown(_))) {
            self.unresolved = None;
        }
        result.map(drop)
    }

    fn may_send(&mut self, row: &row::OrderRow) -> bool {
        let is_load = matches!(row.action, row::OrderAction::Agent(control::Action::Load { .. }));
        !is_load || self.load_limiter.try_acquire(Instant::now())
    }

    async fn send(&self, fence: ids::Fence, row: &row::OrderRow) -> SendResult {
        if let Some(order) = row.zone_order(fence) {
            let call = self.senders.orders.send(order);
            return self.holder.send(fence, call).await.map(drop);
        }
        let Some(order) = row.agent_order(fence) else { return Ok(()) };
        self.holder.send(fence, (self.senders.agent)(row.backend.clone(), order)).await
    }
}

/// Logs the result of sending an order.
fn log_send(fence: ids::Fence, row: &row::OrderRow, sent: &SendResult) {
    let code = match sent {
        Ok(()) => 0,
        Err(error::PlatformError::Refused(_)) => azuregap_core::code::Code::OrderRefused.number(),
        Err(error::PlatformError::Unknown(_)) => azuregap_core::code::Code::OutcomeUnknown.number(),
    };
    tracing::info!(
        decision = "order",
        code,
        order = row.id,
        fence,
        written = row.fence,
        backend = row.backend,
        zone = row.zone,
        action = ?row.action,
        reason = sent.as_ref().err().map(ToString::to_string),
        "placement"
    );
}
