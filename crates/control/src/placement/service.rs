//! The service "placement".

use std::time;

use azuregap_core::settings;
use azuregap_kernel::service;
use azuregap_platform::error;
use azuregap_platform::orders as platform_orders;
use azuregap_platform::table;
use azuregap_platform::vms;
use azuregap_wire::control;
use futures::future;
use tokio::time::Instant;

use super::demand;
use super::reconciler;
use crate::configuration;
use crate::holder;
use crate::mailbox;
use crate::orders;
use crate::peer_client;
use crate::tasks;

/// Time between two rounds.
const ROUND_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Time between two load queries to the agents.
const LOAD_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// How long an agent may take to respond.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// The service "placement" of an entry; registers a [`demand::DemandTracker`]. It acts while the
/// entry holds the lease.
#[must_use]
pub fn service(platform: &settings::PlatformSettings) -> service::Service {
    let platform = platform.clone();
    let tasks = tasks::Tasks::default();
    let running = tasks.clone();
    service::Service::new(demand::DemandTracker::NAME)
        .depends_on([mailbox::Mailbox::NAME, "membership", holder::LeaseHandle::NAME])
        .start(move |registry| async move {
            let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
            let mailbox = mailbox.as_ref().clone();
            let holder = registry.find::<holder::LeaseHandle>(holder::LeaseHandle::NAME)?;
            let demand = demand::DemandTracker::default();
            registry.register(demand::DemandTracker::NAME, demand.clone());
            let reconciler = build(&platform, &mailbox, holder.as_ref(), &demand);
            tasks.spawn(poll_loads(mailbox, demand));
            tasks.spawn(run(reconciler));
            Ok(())
        })
        .stop(move |_| async move { running.abort() })
}

fn build(
    platform: &settings::PlatformSettings,
    mailbox: &mailbox::Mailbox,
    holder: &holder::LeaseHandle,
    demand: &demand::DemandTracker,
) -> reconciler::Reconciler {
    let table = table::Table::http(&platform.table, platform.timeout);
    let source =
        configuration::Source::new(table, mailbox.snapshot(), mailbox.unresolved_changes());
    let vms = vms::Vms::http(&platform.vms, platform.timeout);
    let orders = platform_orders::Orders::http(&platform.orders, platform.timeout);
    let client = peer_client::PeerClient::mailbox(mailbox.clone(), REPLY_TIMEOUT);
    let sender = mailbox.clone();
    let senders = orders::OrderSenders::new(orders, move |backend, order| {
        let mailbox = sender.clone();
        async move { send(&mailbox, &backend, order).await }
    });
    reconciler::Reconciler::new(holder.clone(), source, vms, client, senders).demand(demand.clone())
}

/// Sends an order to the agent of `backend`.
async fn send(
    mailbox: &mailbox::Mailbox,
    backend: &str,
    order: control::Order,
) -> error::PlatformResult<()> {
    let peers = mailbox.peers();
    let Some(vm) = peers.iter().find(|vm| vm.name == backend) else {
        return Err(error::PlatformError::Refused(format!("no VM '{backend}' is listed")));
    };
    let reply = mailbox.request(&vm.control, control::Body::Order(order), REPLY_TIMEOUT).await;
    match reply.map(|message| message.body) {
        Ok(control::Body::OrderDone { .. }) => Ok(()),
        Ok(control::Body::Failed { code, message }) => {
            Err(error::PlatformError::Refused(format!("{}: {message}", code.number())))
        }
        Ok(_) => Err(error::PlatformError::Unknown("an answer of another kind".to_owned())),
        Err(error) => Err(error::PlatformError::Unknown(error.to_string())),
    }
}

async fn run(mut reconciler: reconciler::Reconciler) {
    loop {
        if let Err(error) = reconciler.reconcile().await {
            tracing::warn!(%error, "placement round failed; retrying in the next round");
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}

async fn poll_loads(mailbox: mailbox::Mailbox, demand: demand::DemandTracker) {
    loop {
        let peers = mailbox.peers();
        let asked = peers.iter().filter_map(|vm| match &vm.kind {
            vms::VmKind::Entry => None,
            vms::VmKind::Backend { pool } => Some(poll_load(&mailbox, &demand, vm, pool)),
        });
        future::join_all(asked).await;
        demand.retain(|backend| peers.iter().any(|vm| vm.name == backend));
        let snapshot = mailbox.snapshot().load();
        let list = vms::VmList { vms: peers.as_ref().clone() };
        let backends = orders::inventory(&list, &[], &snapshot.intent);
        demand.observe(&snapshot.intent, &backends, Instant::now());
        tokio::time::sleep(LOAD_INTERVAL).await;
    }
}

async fn poll_load(
    mailbox: &mailbox::Mailbox,
    demand: &demand::DemandTracker,
    vm: &vms::Vm,
    pool: &str,
) {
    let reply = mailbox.request(&vm.control, control::Body::DrainState, REPLY_TIMEOUT).await;
    if let Ok(control::Message { body: control::Body::Draining { load, .. }, .. }) = reply {
        demand.record_load(&vm.name, pool, load);
    }
}
