//! State that the handlers of the intent API share on one thread.

use azuregap_core::settings;
use azuregap_platform::table;
use azuregap_platform::vms;
use azuregap_policy::plan;

use crate::clock;
use crate::configuration;
use crate::directory;
use crate::failure;
use crate::holder;
use crate::mailbox;
use crate::orders;
use crate::placement;
use crate::plans;

/// Handles shared between worker threads.
#[derive(Clone, Debug)]
pub(super) struct Handles {
    pub(super) settings: settings::EntrySettings,
    pub(super) mailbox: mailbox::Mailbox,
    pub(super) directory: directory::Directory,
    pub(super) holder: holder::LeaseHandle,
    pub(super) demand: placement::DemandTracker,
}

/// State shared by the handlers on one thread.
#[derive(Debug)]
pub(super) struct State {
    pub(super) handles: Handles,
    pub(super) source: configuration::Source,
    pub(super) plans: plans::PlanManager,
}

/// Most orders read for a plan or a listing.
const MAX_ORDERS: usize = 10_000;

impl State {
    pub(super) fn new(handles: Handles) -> Self {
        let platform = &handles.settings.platform;
        let table = table::Table::http(&platform.table, platform.timeout);
        let mailbox = &handles.mailbox;
        let source =
            configuration::Source::new(table, mailbox.snapshot(), mailbox.unresolved_changes());
        let plans = plans::PlanManager::new(source.clone(), clock::WallClock::system());
        Self { handles, source, plans }
    }

    /// Lists the stored orders.
    pub(super) async fn orders(&self) -> Result<Vec<orders::OrderRow>, failure::Failure> {
        let rows = self.source.table().scan(orders::KEY_PREFIX, "", MAX_ORDERS).await;
        let rows = rows.map_err(failure::Failure::unavailable)?;
        let rows: Result<Vec<_>, _> =
            rows.into_iter().map(|row| serde_json::from_value(row.value)).collect();
        rows.map_err(|error| failure::Failure::Unavailable(error.to_string()))
    }

    /// Lists the backend servers that a plan is based on.
    pub(super) async fn backends(&self) -> Result<Vec<plan::Backend>, failure::Failure> {
        let rows = self.orders().await?;
        let vms = self.handles.mailbox.peers().as_ref().clone();
        let list = vms::VmList { vms };
        Ok(orders::inventory(&list, &rows, &self.handles.mailbox.snapshot().load().intent))
    }

    /// Submits an order to the agent of `backend`.
    pub(super) async fn order(
        &self,
        backend: &str,
        order: orders::AgentOrder,
    ) -> Result<orders::OrderRow, failure::Failure> {
        let peers = self.handles.mailbox.peers();
        let vm = peers.iter().find(|vm| vm.name == backend && vm.kind != vms::VmKind::Entry);
        let vm = vm.ok_or_else(|| failure::Failure::NameUnknown(backend.to_owned()))?;
        let row = orders::OrderRow {
            id: uuid::Uuid::new_v4().simple().to_string(),
            fence: 0,
            backend: backend.to_owned(),
            zone: vm.zone.clone(),
            action: order.into(),
            state: orders::OrderState::Open,
            made: clock::WallClock::system().seconds(),
        };
        orders::submit_agent_order(&self.handles.holder, &self.source, row).await
    }
}
