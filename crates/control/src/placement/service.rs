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

use super::board;
use super::round;
use crate::configuration;
use crate::holder;
use crate::mailbox;
use crate::orders;
use crate::peer_client;
use crate::tasks;

/// Time between two rounds.
const ROUND: time::Duration = time::Duration::from_secs(2);

/// Time between two looks at the load of the agents.
const LOADS: time::Duration = time::Duration::from_secs(5);

/// How long an agent may take to answer.
const ASKING: time::Duration = time::Duration::from_millis(700);

/// The service "placement" of an entry; offers a [`board::Board`]. It acts while the entry is in
/// charge.
#[must_use]
pub fn service(platform: &settings::PlatformSettings) -> service::Service {
    let platform = platform.clone();
    let tasks = tasks::Tasks::default();
    let running = tasks.clone();
    service::Service::new(board::Board::NAME)
        .needs([mailbox::Mailbox::NAME, "membership", holder::LeaseHandle::NAME])
        .start(move |registry| async move {
            let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
            let mailbox = mailbox.as_ref().clone();
            let holder = registry.find::<holder::LeaseHandle>(holder::LeaseHandle::NAME)?;
            let board = board::Board::default();
            registry.offer(board::Board::NAME, board.clone());
            let placement = build(&platform, &mailbox, holder.as_ref(), &board);
            tasks.spawn(watch_loads(mailbox, board));
            tasks.spawn(act(placement));
            Ok(())
        })
        .stop(move |_| async move { running.abort() })
}

fn build(
    platform: &settings::PlatformSettings,
    mailbox: &mailbox::Mailbox,
    holder: &holder::LeaseHandle,
    board: &board::Board,
) -> round::Placement {
    let table = table::Table::http(&platform.table, platform.timeout);
    let source =
        configuration::Source::new(table, mailbox.snapshot(), mailbox.unresolved_changes());
    let vms = vms::Vms::http(&platform.vms, platform.timeout);
    let orders = platform_orders::Orders::http(&platform.orders, platform.timeout);
    let ask = peer_client::PeerClient::mailbox(mailbox.clone(), ASKING);
    let sender = mailbox.clone();
    let carriers = orders::Carriers::new(orders, move |backend, order| {
        let mailbox = sender.clone();
        async move { send(&mailbox, &backend, order).await }
    });
    round::Placement::new(holder.clone(), source, vms, ask, carriers).board(board.clone())
}

/// Sends an order to the agent beside `backend`.
async fn send(
    mailbox: &mailbox::Mailbox,
    backend: &str,
    order: control::Order,
) -> error::PlatformResult<()> {
    let peers = mailbox.peers();
    let Some(vm) = peers.iter().find(|vm| vm.name == backend) else {
        return Err(error::PlatformError::Refused(format!("no VM '{backend}' is listed")));
    };
    let reply = mailbox.request(&vm.control, control::Body::Order(order), ASKING).await;
    match reply.map(|message| message.body) {
        Ok(control::Body::OrderDone { .. }) => Ok(()),
        Ok(control::Body::Failed { code, message }) => {
            Err(error::PlatformError::Refused(format!("{}: {message}", code.number())))
        }
        Ok(_) => Err(error::PlatformError::Unknown("an answer of another kind".to_owned())),
        Err(error) => Err(error::PlatformError::Unknown(error.to_string())),
    }
}

async fn act(mut placement: round::Placement) {
    loop {
        if let Err(error) = placement.round().await {
            tracing::warn!(%error, "placement round not finished");
        }
        tokio::time::sleep(ROUND).await;
    }
}

async fn watch_loads(mailbox: mailbox::Mailbox, board: board::Board) {
    loop {
        let peers = mailbox.peers();
        let asked = peers.iter().filter_map(|vm| match &vm.kind {
            vms::VmKind::Entry => None,
            vms::VmKind::Backend { pool } => Some(watch_load(&mailbox, &board, vm, pool)),
        });
        future::join_all(asked).await;
        board.retain(|backend| peers.iter().any(|vm| vm.name == backend));
        let snapshot = mailbox.snapshot().load();
        let list = vms::VmList { vms: peers.as_ref().clone() };
        let backends = orders::inventory(&list, &[], &snapshot.intent);
        board.observe(&snapshot.intent, &backends, Instant::now());
        tokio::time::sleep(LOADS).await;
    }
}

async fn watch_load(mailbox: &mailbox::Mailbox, board: &board::Board, vm: &vms::Vm, pool: &str) {
    let reply = mailbox.request(&vm.control, control::Body::DrainState, ASKING).await;
    if let Ok(control::Message { body: control::Body::Draining { load, .. }, .. }) = reply {
        board.report(&vm.name, pool, load);
    }
}
