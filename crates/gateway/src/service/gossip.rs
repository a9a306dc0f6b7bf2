//! Tells other gateways of this one, and hears of them.

use std::net;
use std::rc;
use std::time::Duration;

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;
use tokio::net as tokio_net;
use tokio::time;

use crate::decision::gossip_timing;
use crate::decision::usage_counts;
use crate::directory;
use crate::peers;
use crate::state;
use crate::store;

/// Pause after a datagram could not be received.
const RECEIVE_PAUSE: Duration = Duration::from_millis(200);

/// Shortest pause between two readings of the list of gateways, once it is known.
const LIST_INTERVAL: Duration = Duration::from_secs(20);

/// Pause between two readings for each gateway. Source: ten readings a second of all together, a
/// small part of what the store takes.
const LIST_EACH: Duration = Duration::from_millis(100);

/// First pause between two readings of the list of gateways; doubles with each.
const FIRST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Usage windows that a beacon tells of: with the due time of reports, those not yet reported.
const WINDOWS: usize = 4;

/// Entries of silent gateways that are removed after one reading of the list.
const MOST_REMOVED: usize = 10;

/// Largest datagram, in bytes.
const MOST_BYTES: usize = 16 * 1024;

/// Counts in one datagram; more go in further ones. Source: at most 12 bytes each.
const MOST_COUNTS: usize = 800;

/// A gateway as it names itself in the store.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Entry {
    address: net::SocketAddr,
}

/// Exchanges beacons with other gateways for ever.
pub async fn run(
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    socket: tokio_net::UdpSocket,
    incarnation: ids::Incarnation,
) {
    let socket = rc::Rc::new(socket);
    let list = list(state.clone(), store);
    let sender = rc::Rc::new(Sender { state, socket, incarnation });
    let receive = receive(sender.clone());
    futures::future::join4(list, send_loads(sender.clone()), send_counts(sender), receive).await;
}

/// Enters this gateway in the store and learns of the others there.
///
/// It enters first: of two gateways that start at the same moment, one at least finds the other,
/// and its first beacon tells the other of it.
async fn list(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let mut pause = FIRST_LIST_INTERVAL;
    let mut reports_since = None;
    loop {
        let result = enter(&state, &store).await;
        match &result {
            Ok(rows) => remove_gone(&state, &store, rows, &mut reports_since).await,
            Err(error) => {
                tracing::info!(reason = error.to_string(), "the list of gateways was not read");
            }
        }
        time::sleep(pause).await;
        if result.is_ok() {
            let gateways = u32::try_from(state.gateways()).unwrap_or(u32::MAX);
            pause = (pause * 2).min(LIST_INTERVAL.max(LIST_EACH * gateways));
        }
    }
}

async fn enter(
    state: &state::State,
    store: &store::Store,
) -> Result<store::Rows, store::StoreError> {
    let table = store::Table::Gateways;
    let node = &state.settings.node;
    let entry = Entry { address: state.settings.peers };
    let data = serde_json::to_vec(&entry).expect("an address can always be encoded");
    if !state.entered.get() {
        let write = store::Write { key: node.clone(), data: Some(data.clone()), expect: None };
        (store.commit)(store::Commit { table, writes: vec![write], guards: Vec::new() }).await?;
        state.entered.set(true);
        tracing::info!(address = %entry.address, "entered in the list of gateways");
    }
    let rows = (store.read)(table).await?;
    let own = rows.rows.iter().find(|row| row.key == *node);
    state.entered.set(own.is_some_and(|row| row.data.as_ref() == Some(&data)));
    let now = state.clock.now();
    for row in rows.rows.iter().filter(|row| row.key != *node) {
        let entry: Result<Entry, _> =
            serde_json::from_slice(row.data.as_deref().unwrap_or_default());
        match entry {
            Ok(entry) => state.peers.borrow_mut().add_listed(row.key.clone(), entry.address, now),
            Err(error) => {
                tracing::warn!(gateway = row.key, reason = error.to_string(), "not usable");
            }
        }
    }
    Ok(rows)
}

/// Removes entries of gateways that have been silent for long.
///
/// Only those that may report hear every gateway, and only after a while. A gateway that was
/// removed and is alive enters again when it reads the list next.
async fn remove_gone(
    state: &state::State,
    store: &store::Store,
    rows: &store::Rows,
    reports_since: &mut Option<time::Instant>,
) {
    let now = state.clock.now();
    if !state.peers.borrow().is_among_first(&state.settings.node, peers::REPORTER_COUNT, now) {
        *reports_since = None;
        return;
    }
    let since = *reports_since.get_or_insert(now);
    if now.saturating_duration_since(since) < peers::PEER_EXPIRY {
        return;
    }
    let gone = |row: &&store::Row| state.peers.borrow().is_expired(&row.key, now);
    for row in rows.rows.iter().filter(gone).take(MOST_REMOVED) {
        let (key, expect) = (row.key.clone(), Some(row.version));
        let writes = vec![store::Write { key, data: None, expect }];
        let commit = store::Commit { table: store::Table::Gateways, writes, guards: Vec::new() };
        match (store.commit)(commit).await {
            Ok(_) => tracing::info!(gateway = row.key, "a silent gateway's entry was removed"),
            Err(error) => {
                let reason = error.to_string();
                tracing::info!(gateway = row.key, reason, "an entry was not removed");
            }
        }
    }
}

/// What is needed to tell others of this gateway.
struct Sender {
    state: rc::Rc<state::State>,
    socket: rc::Rc<tokio_net::UdpSocket>,
    incarnation: ids::Incarnation,
}

impl Sender {
    async fn send(&self, beacon: &peers::GossipMessage, addresses: &[net::SocketAddr]) {
        let bytes = postcard::to_allocvec(beacon).expect("a beacon can always be encoded");
        for address in addresses {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                tracing::debug!(reason = error.to_string(), %address, "a beacon was not sent");
            }
        }
    }

    /// Sends this gateway's load and counts, in as many datagrams as the counts need.
    async fn send_counts(&self, addresses: &[net::SocketAddr]) {
        let counts = counts(&self.state);
        let mut beacon = beacon(&self.state, self.incarnation);
        if counts.is_empty() {
            return self.send(&beacon, addresses).await;
        }
        for part in counts.chunks(MOST_COUNTS) {
            beacon.counts = part.to_vec();
            self.send(&beacon, addresses).await;
        }
    }
}

/// Tells the neighbours of this gateway's load; in a small fleet of its counts as well.
async fn send_loads(sender: rc::Rc<Sender>) {
    let state = &sender.state;
    loop {
        let now = state.clock.now();
        state.peers.borrow_mut().remove_expired(now);
        let addresses = state.peers.borrow().neighbours(&state.settings.node, now);
        if state.peers.borrow().is_partial_mesh() {
            sender.send(&beacon(state, sender.incarnation), &addresses).await;
        } else {
            sender.send_counts(&addresses).await;
        }
        adjust_time(state);
        state.pool.prune();
        time::sleep(gossip_timing::load_interval(addresses.len())).await;
    }
}

/// Tells those who may report of this gateway's counts, in a large fleet.
async fn send_counts(sender: rc::Rc<Sender>) {
    let state = &sender.state;
    loop {
        let pause = gossip_timing::count_interval(state.gateways());
        let addresses = state.peers.borrow().reporters(pause, state.clock.now());
        if state.peers.borrow().is_partial_mesh() {
            sender.send_counts(&addresses).await;
        }
        time::sleep(pause).await;
    }
}

/// What this gateway says of its load.
fn beacon(state: &state::State, incarnation: ids::Incarnation) -> peers::GossipMessage {
    let work =
        |known: &directory::BackendState| peers::BackendLoad::from((known.hash, &known.own_load));
    let busy = |known: &&directory::BackendState| known.own_load != directory::Load::default();
    peers::GossipMessage {
        node: state.settings.node.clone(),
        incarnation,
        wall_time: state.true_time.borrow().time_at(state.clock.now()),
        loads: state.directory.borrow().all().filter(busy).map(work).collect(),
        counts: Vec::new(),
    }
}

fn counts(state: &state::State) -> Vec<peers::UsageCount> {
    let count = |(window, team, requests)| peers::UsageCount { window, team, requests };
    state.windows.borrow().newest(WINDOWS).map(count).collect()
}

fn adjust_time(state: &state::State) {
    let now = state.clock.now();
    let others = state.peers.borrow().clock_estimates(now);
    let wall = state.clock.wall();
    state.true_time.borrow_mut().adjust(now, wall, others);
    let time = state.true_time.borrow().time_at(now);
    state.peers.borrow_mut().prune_counts(usage_counts::window_at(time, state.settings.window));
}

async fn receive(sender: rc::Rc<Sender>) {
    let (state, socket) = (&sender.state, &sender.socket);
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(reason = error.to_string(), "no datagram was received");
                time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        match postcard::from_bytes::<peers::GossipMessage>(&buffer[..length]) {
            Ok(heard) => {
                let has_counts = !heard.counts.is_empty();
                state.peers.borrow_mut().handle_message(heard, from, state.clock.now());
                if has_counts && state.peers.borrow().is_partial_mesh() {
                    // Shows the sender that its counts are heard.
                    sender.send(&beacon(state, sender.incarnation), &[from]).await;
                }
            }
            Err(error) => {
                tracing::warn!(reason = error.to_string(), %from, "a datagram is not a beacon");
            }
        }
    }
}
