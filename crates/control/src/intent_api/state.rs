//! What the handlers of the intent API share on one thread.

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

/// Handles that are shared between threads.
#[derive(Clone, Debug)]
pub(super) struct Handles {
    pub(super) settings: settings::EntrySettings,
    pub(super) mailbox: mailbox::Mailbox,
    pub(super) directory: directory::Directory,
    pub(super) holder: holder::LeaseHandle,
    pub(super) board: placement::Board,
}

/// What the handlers share on one thread.
#[derive(Debug)]
pub(super) struct State {
    pub(super) handles: Handles,
    pub(super) source: configuration::Source,
    pub(super) desk: plans::Desk,
}

/// Orders read at most for a plan.
const ORDERS: usize = 10_000;

impl State {
    pub(super) fn new(handles: Handles) -> Self {
        let platform = &handles.settings.platform;
        let table = table::Table::http(&platform.table, platform.timeout);
        let mailbox = &handles.mailbox;
        let source =
            configuration::Source::new(table, mailbox.snapshot(), mailbox.unresolved_changes());
        let desk = plans::Desk::new(source.clone(), clock::WallClock::system());
        Self { handles, source, desk }
    }

    /// The orders that are kept.
    pub(super) async fn orders(&self) -> Result<Vec<orders::OrderRow>, failure::Failure> {
        let rows = self.source.table().scan(orders::ORDERS, "", ORDERS).await;
        let rows = rows.map_err(failure::Failure::unread)?;
        let rows: Result<Vec<_>, _> =
            rows.into_iter().map(|row| serde_json::from_value(row.value)).collect();
        rows.map_err(|error| failure::Failure::Unavailable(error.to_string()))
    }

    /// The backend servers that a plan counts with.
    pub(super) async fn backends(&self) -> Result<Vec<plan::Backend>, failure::Failure> {
        let rows = self.orders().await?;
        let vms = self.handles.mailbox.peers().as_ref().clone();
        let list = vms::VmList { vms };
        Ok(orders::inventory(&list, &rows, &self.handles.mailbox.snapshot().load().intent))
    }

    /// Orders something of the agent beside `backend`.
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
        orders::order_agent(&self.handles.holder, &self.source, row).await
    }
}
