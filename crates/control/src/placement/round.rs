//! One round of the process in charge.

use std::fmt;

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_platform::error;
use azuregap_platform::vms;
use azuregap_policy::plan;
use azuregap_wire::control;
use tokio::time::Instant;

use super::absence;

use super::board;
use super::drain;
use super::leaving;
use crate::clock;
use crate::configuration;
use crate::holder;
use crate::orders;
use crate::peer_client;

/// New orders of one round at most.
const NEW_ORDERS: usize = 8;

/// Draws ids that were never drawn before.
type Ids = Box<dyn FnMut() -> String>;

/// Brings the backend servers in line with the configuration while this process is in charge.
pub struct Placement {
    holder: holder::LeaseHandle,
    source: configuration::Source,
    vms: vms::Vms,
    ask: peer_client::PeerClient,
    desk: orders::Desk,
    board: board::Board,
    wall: clock::WallClock,
    ids: Ids,
    drain: drain::Drain,
    absence: absence::Absence,
}

impl fmt::Debug for Placement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Placement").field("holder", &self.holder).finish_non_exhaustive()
    }
}

/// What a round knows.
struct View {
    fence: ids::Fence,
    list: vms::VmList,
    stored: configuration::Stored,
    intent: intent::Intent,
    rows: Vec<(u64, orders::OrderRow)>,
}

impl View {
    fn vm(&self, backend: &str) -> Option<&vms::Vm> {
        self.list.vms.iter().find(|vm| vm.name == backend)
    }

    fn is_stopping(&self, backend: &str) -> bool {
        let stops = |row: &orders::OrderRow| row.action == orders::OrderAction::Stop;
        self.rows.iter().any(|(_, row)| row.backend == backend && stops(row))
    }

    /// Whether a start of the backend server may still be carried out.
    fn is_starting(&self, backend: &str) -> bool {
        let open = |row: &orders::OrderRow| row.starts() && row.state == orders::OrderState::Open;
        self.rows.iter().any(|(_, row)| row.backend == backend && open(row))
    }
}

impl Placement {
    /// Acts for the process that keeps `holder`.
    #[must_use]
    pub fn new(
        holder: holder::LeaseHandle,
        source: configuration::Source,
        vms: vms::Vms,
        ask: peer_client::PeerClient,
        carriers: orders::Carriers,
    ) -> Self {
        let desk = orders::Desk::new(holder.clone(), source.table().clone(), carriers);
        Self {
            holder,
            source,
            vms,
            ask,
            desk,
            board: board::Board::default(),
            wall: clock::WallClock::system(),
            ids: Box::new(|| uuid::Uuid::new_v4().simple().to_string()),
            drain: drain::Drain::default(),
            absence: absence::Absence::default(),
        }
    }

    /// Sets where the demand is read from.
    #[must_use]
    pub fn board(mut self, board: board::Board) -> Self {
        self.board = board;
        self
    }

    /// Sets the clock.
    #[must_use]
    pub const fn wall(mut self, wall: clock::WallClock) -> Self {
        self.wall = wall;
        self
    }

    /// Sets what draws ids of orders.
    #[must_use]
    pub fn ids(mut self, ids: impl FnMut() -> String + 'static) -> Self {
        self.ids = Box::new(ids);
        self
    }

    /// Does what is to be done now, if this process is in charge.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the platform gave no result; the next round goes on.
    pub async fn round(&mut self) -> error::PlatformResult<()> {
        let Some(mut view) = self.look().await? else { return Ok(()) };
        self.desk.drive(view.fence, &mut view.rows).await;
        self.note_seen(&mut view).await?;
        self.tidy(&mut view).await?;
        let plan = self.plan(&view);
        let mut new = self.stops(&view).await;
        new.extend(self.starts(view.fence, &plan));
        new.truncate(NEW_ORDERS);
        if !new.is_empty() {
            self.desk.write(view.fence, view.stored.row, &new).await?;
            let mut rows = self.desk.rows(view.fence).await?;
            self.desk.drive(view.fence, &mut rows).await;
        }
        self.retire(&view, &plan).await
    }

    /// Reads everything; none when this process is not in charge or nothing was declared yet.
    async fn look(&mut self) -> error::PlatformResult<Option<View>> {
        let Some(fence) = self.holder.fencing_token() else { return Ok(None) };
        let rows = self.desk.rows(fence).await?;
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
        Ok(Some(View { fence, list, stored, intent, rows }))
    }

    fn plan(&self, view: &View) -> plan::Plan {
        let rows: Vec<_> = view.rows.iter().map(|(_, row)| row.clone()).collect();
        let backends = orders::inventory(&view.list, &rows, &view.intent);
        self.board.observe(&view.intent, &backends, Instant::now());
        let demand = self.board.demand(&view.intent);
        plan::plan(&plan::Inputs::new(&view.intent).backends(&backends).demand(&demand))
    }

    /// Notes which of the ordered backend servers were seen in the list.
    async fn note_seen(&self, view: &mut View) -> error::PlatformResult<()> {
        let list = &view.list;
        for (version, row) in &mut view.rows {
            let listed = list.vms.iter().any(|vm| vm.name == row.backend);
            if row.starts() && listed && row.state == orders::OrderState::Taken {
                row.state = orders::OrderState::Seen;
                *version = self.desk.update(view.fence, *version, row).await?;
            }
        }
        Ok(())
    }

    /// Deletes the orders of backend servers that are stopped and gone.
    async fn tidy(&self, view: &mut View) -> error::PlatformResult<()> {
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
            self.desk.delete(view.fence, &rows).await?;
        }
        view.rows.retain(|(_, row)| row.backend != backend);
        view.stored = self.source.read().await?;
        Ok(())
    }

    fn starts(&mut self, fence: ids::Fence, plan: &plan::Plan) -> Vec<orders::OrderRow> {
        let adds = |step: &&plan::Step| {
            step.ready && matches!(step.action, plan::Action::Start | plan::Action::Move)
        };
        let steps: Vec<_> = plan.steps.iter().filter(adds).take(NEW_ORDERS).collect();
        let made = self.wall.seconds();
        let mut orders = Vec::with_capacity(steps.len());
        for step in steps {
            let id = (self.ids)();
            let backend = format!("{}-{}-{}", step.pool, step.zone, short(&id));
            let action = orders::OrderAction::Start { pool: step.pool.clone() };
            let zone = step.zone.clone();
            let state = orders::OrderState::Open;
            log("start", &backend, step);
            orders.push(orders::OrderRow { id, fence, backend, zone, action, state, made });
        }
        orders
    }

    /// Stops of backend servers that left gracefully, crashed, or never appeared.
    async fn stops(&mut self, view: &View) -> Vec<orders::OrderRow> {
        let mut orders = Vec::new();
        let lost = self.absence.lost(&view.rows, self.wall.seconds(), Instant::now());
        let names = view.intent.leaving.iter().chain(&lost);
        for backend in names {
            let zone = view.vm(backend).map(|vm| &vm.zone);
            let ordered = view.rows.iter().find(|(_, row)| row.backend == *backend);
            let Some(zone) = zone.or(ordered.map(|(_, row)| &row.zone)) else { continue };
            let twice = orders.iter().any(|order: &orders::OrderRow| order.backend == *backend);
            if twice || view.is_stopping(backend) || view.is_starting(backend) {
                continue;
            }
            let state = self.drained(view, backend).await;
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
                made: self.wall.seconds(),
            });
        }
        orders
    }

    async fn drained(&mut self, view: &View, backend: &str) -> drain::DrainState {
        let answer = match view.vm(backend) {
            Some(vm) => self.ask.request(&vm.control, control::Body::DrainState).await,
            None => None,
        };
        let version = view.stored.value.version;
        self.drain.judge(backend, version, answer.as_ref(), Instant::now())
    }

    /// Marks what the plan stops as leaving, so that it takes no new work.
    async fn retire(&self, view: &View, plan: &plan::Plan) -> error::PlatformResult<()> {
        let mut names = Vec::new();
        for step in &plan.steps {
            let Some(backend) = &step.backend else { continue };
            let stops = step.action == plan::Action::Stop && step.ready;
            let listed = view.vm(backend).is_some_and(|vm| !vm.leaving);
            if stops && listed && !view.intent.is_leaving(backend) {
                log("leave", backend, step);
                names.push(backend.clone());
            }
        }
        if names.is_empty() {
            return Ok(());
        }
        leaving::add(&self.source, &self.holder, view.fence, &names).await
    }
}

/// The part of an id that makes a name.
fn short(id: &str) -> &str {
    id.get(..12).unwrap_or(id)
}

/// One line for the decision.
fn log(decision: &str, backend: &str, step: &plan::Step) {
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
