//! Writes, sends and settles orders.

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

use super::pace;
use super::row;
use crate::holder;
use crate::keys;

/// Rows read at once.
const PAGE: usize = 500;

/// Time between two loads of models, adapters or versions.
const LOAD_EVERY: time::Duration = time::Duration::from_secs(5);

/// Carries an order to the agent beside a backend server.
type AgentCarrier =
    rc::Rc<dyn Fn(ids::BackendId, control::Order) -> future::LocalBoxFuture<'static, Sent>>;

/// What became of an order that was sent.
type Sent = error::PlatformResult<()>;

/// What carries orders out of this process.
#[derive(Clone)]
pub struct Carriers {
    orders: orders::Orders,
    agent: AgentCarrier,
}

impl std::fmt::Debug for Carriers {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Carriers").finish_non_exhaustive()
    }
}

impl Carriers {
    /// Orders to the platform go by `orders`, those to an agent by `agent`.
    #[must_use]
    pub fn new<F>(
        orders: orders::Orders,
        agent: impl Fn(ids::BackendId, control::Order) -> F + 'static,
    ) -> Self
    where
        F: Future<Output = Sent> + 'static,
    {
        let agent = move |backend, order| agent(backend, order).boxed_local();
        Self { orders, agent: rc::Rc::new(agent) }
    }
}

/// Writes, sends and settles the orders of the process in charge.
#[derive(Debug)]
pub struct Desk {
    holder: holder::LeaseHandle,
    table: table::Table,
    carriers: Carriers,
    loads: pace::Pace,
    unsettled: Option<(ids::Fence, table::Transaction)>,
}

impl Desk {
    /// A desk of the process that keeps `holder`.
    #[must_use]
    pub const fn new(holder: holder::LeaseHandle, table: table::Table, carriers: Carriers) -> Self {
        let loads = pace::Pace::new(LOAD_EVERY);
        Self { holder, table, carriers, loads, unsettled: None }
    }

    /// Every order that is kept, with the version of its row. First settles a write whose answer
    /// was lost, so that nothing is decided on rows that may still appear.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the rows are not known now.
    pub async fn rows(
        &mut self,
        fence: ids::Fence,
    ) -> error::PlatformResult<Vec<(u64, row::OrderRow)>> {
        if let Some((written, transaction)) = self.unsettled.clone() {
            // A write under an earlier number checks a lease row that is gone.
            if written == fence {
                self.holder.commit(&self.table, fence, transaction).await?;
            }
            self.unsettled = None;
        }
        let mut rows: Vec<(u64, row::OrderRow)> = Vec::new();
        let mut after = String::new();
        loop {
            let page = self.table.scan(row::ORDERS, after, PAGE).await?;
            let full = page.len() == PAGE;
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

    /// Writes the rows of new orders, in one transaction that checks the lease row and that the
    /// configuration row is still at `configuration`.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when they were not written, or may have been; [`Desk::rows`] then
    /// settles it.
    pub async fn write(
        &mut self,
        fence: ids::Fence,
        configuration: u64,
        orders: &[row::OrderRow],
    ) -> error::PlatformResult<()> {
        let mut transaction =
            table::Transaction::new().check(crate::configuration::CURRENT, configuration);
        for order in orders {
            let key = row::order(&order.id);
            transaction = transaction.check(key.clone(), 0).put(key, keys::value(order)?);
        }
        self.apply(fence, transaction).await
    }

    /// Sends every open order once, under its own id and the present fencing number, and settles
    /// those that are acknowledged.
    pub async fn drive(&mut self, fence: ids::Fence, rows: &mut [(u64, row::OrderRow)]) {
        for (version, row) in rows.iter_mut() {
            if row.state != row::OrderState::Open || !self.is_due(row) {
                continue;
            }
            let sent = self.send(fence, row).await;
            log(fence, row, &sent);
            if sent.is_ok() {
                row.state = row::OrderState::Taken;
                *version = self.update(fence, *version, row).await.unwrap_or(*version);
            }
        }
    }

    /// Writes the new state of an order; the new version of its row.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when it was not written or may not have been; the order is then
    /// found as it was and handled again.
    pub async fn update(
        &self,
        fence: ids::Fence,
        version: u64,
        order: &row::OrderRow,
    ) -> error::PlatformResult<u64> {
        let key = row::order(&order.id);
        let transaction =
            table::Transaction::new().check(key.clone(), version).put(key, keys::value(order)?);
        match self.holder.commit(&self.table, fence, transaction).await? {
            table::Commit::Applied(versions) => Ok(versions.first().copied().unwrap_or(version)),
            table::Commit::Conflict(_) => Err(error::PlatformError::Refused("changed".to_owned())),
        }
    }

    /// Deletes the rows of orders that are over.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when they may still be there.
    pub async fn delete(
        &self,
        fence: ids::Fence,
        orders: &[(u64, row::OrderRow)],
    ) -> error::PlatformResult<()> {
        let mut transaction = table::Transaction::new();
        for (version, order) in orders {
            let key = row::order(&order.id);
            transaction = transaction.check(key.clone(), *version).delete(key);
        }
        self.holder.commit(&self.table, fence, transaction).await.map(drop)
    }

    async fn apply(
        &mut self,
        fence: ids::Fence,
        transaction: table::Transaction,
    ) -> error::PlatformResult<()> {
        self.unsettled = Some((fence, transaction.clone()));
        let result = self.holder.commit(&self.table, fence, transaction).await;
        if !matches!(result, Err(error::PlatformError::Unknown(_))) {
            self.unsettled = None;
        }
        result.map(drop)
    }

    fn is_due(&mut self, row: &row::OrderRow) -> bool {
        let loads = matches!(row.action, row::OrderAction::Agent(control::Action::Load { .. }));
        !loads || self.loads.take(Instant::now())
    }

    async fn send(&self, fence: ids::Fence, row: &row::OrderRow) -> Sent {
        if let Some(order) = row.zone_order(fence) {
            let call = self.carriers.orders.send(order);
            return self.holder.send(fence, call).await.map(drop);
        }
        let Some(order) = row.agent_order(fence) else { return Ok(()) };
        self.holder.send(fence, (self.carriers.agent)(row.backend.clone(), order)).await
    }
}

/// One line for the decision.
fn log(fence: ids::Fence, row: &row::OrderRow, sent: &Sent) {
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
