//! The placement round of the lease holder.

use std::fmt;

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_platform::error;
use azuregap_platform::vms;
use azuregap_policy::plan;
use azuregap_wire::control;
use tokio::time::Instant;

use super::absence;
use super::demand;
use super::drain;
use super::leaving;
use crate::clock;
use crate::configuration;
use crate::holder;
use crate::orders;
use crate::peer_client;

/// Most new orders per round.
const MAX_NEW_ORDERS: usize = 8;

/// Generates unique ids.
type Ids = Box<dyn FnMut() -> String>;

/// Reconciles the running backend servers with the configuration while this process holds the
/// lease.
pub struct Reconciler {
    holder: holder::LeaseHandle,
    source: configuration::Source,
    vms: vms::Vms,
    client: peer_client::PeerClient,
    dispatcher: orders::OrderDispatcher,
    demand: demand::DemandTracker,
    clock: clock::WallClock,
    ids: Ids,
    drain: drain::DrainTracker,
    absence: absence::AbsenceTracker,
}

impl fmt::Debug for Reconciler {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Reconciler").field("holder", &self.holder).finish_non_exhaustive()
    }
}

/// The data that a round works on.
struct RoundState {
    fence: ids::Fence,
    list: vms::VmList,
    stored: configuration::Stored,
    intent: intent::Intent,
    rows: Vec<(u64, orders::OrderRow)>,
}

impl RoundState {
    fn vm(&self, backend: &str) -> Option<&vms::Vm> {
        self.list.vms.iter().find(|vm| vm.name == backend)
    }

    fn is_stopping(&self, backend: &str) -> bool {
        let stops = |row: &orders::OrderRow| row.action == orders::OrderAction::Stop;
        self.rows.iter().any(|(_, row)| row.backend == backend && stops(row))
    }

    /// Whether a start of the backend server may still be executed.
    fn is_starting(&self, backend: &str) -> bool {
        let open = |row: &orders::OrderRow| row.is_start() && row.state == orders::OrderState::Open;
        self.rows.iter().any(|(_, row)| row.backend == backend && open(row))
    }
}

impl Reconciler {
    /// Creates the reconciler of the process that owns `holder`.
    #[must_use]
    pub fn new(
        holder: holder::LeaseHandle,
        source: configuration::Source,
        vms: vms::Vms,
        client: peer_client::PeerClient,
        senders: orders::OrderSenders,
    ) -> Self {
        let dispatcher =
            orders::OrderDispatcher::new(holder.clone(), source.table().clone(), senders);
        Self {
            holder,
            source,
            vms,
            client,
            dispatcher,
            demand: demand::DemandTracker::default(),
            clock: clock::WallClock::system(),
            ids: Box::new(|| uuid::Uuid::new_v4().simple().to_string()),
            drain: drain::DrainTracker::default(),
            absence: absence::AbsenceTracker::default(),
        }
    }

    /// Sets the tracker that demand is read from.
    #[must_use]
    pub fn demand(mut self, demand: demand::DemandTracker) -> Self {
        self.demand = demand;
        self
    }

    /// Sets the clock.
    #[must_use]
    pub const fn clock(mut self, clock: clock::WallClock) -> Self {
        self.clock = clock;
        self
    }

    /// Sets the generator of order ids.
    #[must_use]
    pub fn ids(mut self, ids: impl FnMut() -> String + 'static) -> Self {
        self.ids = Box::new(ids);
        self
    }

    /// Runs one round if this process holds the lease.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] if the platform returned no result; the next round continues.
    pub async fn reconcile(&mut self) -> error::PlatformResult<()> {
        let Some(mut view) = self.read_state().await? else { return Ok(()) };
        self.dispatcher.send_open(view.fence, &mut view.rows).await;
        self.mark_seen(&mut view).await?;
        self.delete_finished(&mut view).await?;
        let plan = self.plan(&view);
        let mut new = self.stop_orders(&view).await;
        new.extend(self.start_orders(view.fence, &plan));
        new.truncate(MAX_NEW_ORDERS);
        if !new.is_empty() {
            self.dispatcher.write(view.fence, view.stored.row, &new).await?;
            let mut rows = self.dispatcher.read_rows(view.fence).await?;
            self.dispatcher.send_open(view.fence, &mut rows).await;
        }
        self.mark_leaving(&view, &plan).await
    }

    /// Reads the data of a round; `None` if this process doesn't hold the lease or no intent was
    /// declared yet.
    async fn read_state(&mut self) -> error::PlatformResult<Option<RoundState>> {
        let Some(fence) = self.holder.fencing_token() else { return Ok(None) };
        let rows = self.dispatcher.read_rows(fence).await?;
        let list = self.vms.list().await?;
        let stored = self.source.read().await?;
        if stored.value.version == 0 {
            return Ok(None);
        }
        let intent = stored
            .value
            .intent()
            .map_err(|error| error::PlatformError::Refused(error.to_string()))?;
        self.absence.observe(&list, Instant::now());
        Ok(Some(RoundState { fence, list, stored, intent, rows }))
    }

    fn plan(&self, view: &RoundState) -> plan::Plan {
        let rows: Vec<_> = view.rows.iter().map(|(_, row)| row.clone()).collect();
        let backends = orders::inventory(&view.list, &rows, &view.intent);
        self.demand.observe(&view.intent, &backends, Instant::now());
        let demand = self.demand.demand(&view.intent);
        plan::plan(&plan::Inputs::new(&view.intent).backends(&backends).demand(&demand))
    }

    /// Marks the orders whose backend server is in the VM list.
    async fn mark_seen(&self, view: &mut RoundState) -> error::PlatformResult<()> {
        let list = &view.list;
        for (version, row) in &mut view.rows {
            let listed = list.vms.iter().any(|vm| vm.name == row.backend);
            if row.is_start() && listed && row.state == orders::OrderState::Taken {
                row.state = orders::OrderState::Seen;
                *version = self.dispatcher.update(view.fence, *version, row).await?;
            }
        }
        Ok(())
    }

    /// Removes one backend server that no longer exists: deletes its orders if it was stopped, and
    /// its entry in the leaving list.
    async fn delete_finished(&self, view: &mut RoundState) -> error::PlatformResult<()> {
        let gone = |row: &orders::OrderRow| {
            let stopped = row.action == orders::OrderAction::Stop;
            stopped && row.state != orders::OrderState::Open && view.vm(&row.backend).is_none()
        };
        let stopped = view.rows.iter().find(|(_, row)| gone(row)).map(|(_, row)| &row.backend);
        let vanished = |backend: &&ids::BackendId| {
            let ordered = view.rows.iter().any(|(_, row)| row.backend == **backend);
            !ordered && self.absence.is_missing(backend, Instant::now())
        };
        let vanished = view.intent.leaving.iter().find(vanished);
        let Some(backend) = stopped.or(vanished).cloned() else { return Ok(()) };
        let of = |(_, row): &&(u64, orders::OrderRow)| row.backend == backend;
        let rows: Vec<_> = view.rows.iter().filter(of).cloned().collect();
        leaving::remove(&self.source, &self.holder, view.fence, &backend).await?;
        if !rows.is_empty() {
            self.dispatcher.delete(view.fence, &rows).await?;
        }
        view.rows.retain(|(_, row)| row.backend != backend);
        view.stored = self.source.read().await?;
        Ok(())
    }

    fn start_orders(&mut self, fence: ids::Fence, plan: &plan::Plan) -> Vec<orders::OrderRow> {
        let adds = |step: &&plan::Step| {
            step.ready && matches!(step.action, plan::Action::Start | plan::Action::Move)
        };
        let steps: Vec<_> = plan.steps.iter().filter(adds).take(MAX_NEW_ORDERS).collect();
        let made = self.clock.seconds();
        let mut orders = Vec::with_capacity(steps.len());
        for step in steps {
            let id = (self.ids)();
            let backend = format!("{}-{}-{}", step.pool, step.zone, name_suffix(&id));
            let action = orders::OrderAction::Start { pool: step.pool.clone() };
            let zone = step.zone.clone();
            let state = orders::OrderState::Open;
            log_step("start", &backend, step);
            orders.push(orders::OrderRow { id, fence, backend, zone, action, state, made });
        }
        orders
    }

    /// Stop orders for backend servers that are drained, crashed, or never appeared.
    async fn stop_orders(&mut self, view: &RoundState) -> Vec<orders::OrderRow> {
        let mut orders = Vec::new();
        let lost = self.absence.lost_backends(&view.rows, self.clock.seconds(), Instant::now());
        let names = view.intent.leaving.iter().chain(&lost);
        for backend in names {
            let zone = view.vm(backend).map(|vm| &vm.zone);
            let ordered = view.rows.iter().find(|(_, row)| row.backend == *backend);
            let Some(zone) = zone.or(ordered.map(|(_, row)| &row.zone)) else { continue };
            let twice = orders.iter().any(|order: &orders::OrderRow| order.backend == *backend);
            if twice || view.is_stopping(backend) || view.is_starting(backend) {
                continue;
            }
            let state = self.drain_state(view, backend).await;
            if state == drain::DrainState::Busy {
                continue;
            }
            tracing::info!(decision = "stop", code = 0, backend, ?state, "placement");
            orders.push(orders::OrderRow {
                id: (self.ids)(),
                fence: view.fence,
                backend: backend.clone(),
                zone: zone.clone(),
                action: orders::OrderAction::Stop,
                state: orders::OrderState::Open,
                made: self.clock.seconds(),
            });
        }
        orders
    }

    async fn drain_state(&mut self, view: &RoundState, backend: &str) -> drain::DrainState {
        let answer = match view.vm(backend) {
            Some(vm) => self.client.request(&vm.control, control::Body::DrainState).await,
            None => None,
        };
        let version = view.stored.value.version;
        self.drain.update(backend, version, answer.as_ref(), Instant::now())
    }

    /// Marks the backend servers that the plan stops as leaving, so that they accept no new work.
    async fn mark_leaving(
        &self,
        view: &RoundState,
        plan: &plan::Plan,
    ) -> error::PlatformResult<()> {
        let mut names = Vec::new();
        for step in &plan.steps {
            let Some(backend) = &step.backend else { continue };
            let stops = step.action == plan::Action::Stop && step.ready;
            let listed = view.vm(backend).is_some_and(|vm| !vm.leaving);
            if stops && listed && !view.intent.is_leaving(backend) {
                log_step("leave", backend, step);
                names.push(backend.clone());
            }
        }
        if names.is_empty() {
            return Ok(());
        }
        leaving::add(&self.source, &self.holder, view.fence, &names).await
    }
}

/// The part of an order id that is used in the name of a backend server.
fn name_suffix(id: &str) -> &str {
    id.get(..12).unwrap_or(id)
}

/// Logs a placement decision.
fn log_step(decision: &str, backend: &str, step: &plan::Step) {
    tracing::info!(
        decision,
        code = 0,
        backend,
        pool = step.pool,
        zone = step.zone,
        cost = step.cost,
        reason = step.reason,
        "placement"
    );
}
