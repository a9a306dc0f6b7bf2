//! Exchanges load and usage counts with the other gateways over UDP.

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

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Minimum interval between reads of the list of gateways, once the initial backoff has ended.
const MIN_LIST_INTERVAL: Duration = Duration::from_secs(20);

/// Interval between reads of the list per listed gateway: all gateways together read it ten times a
/// second, a small part of the store's capacity.
const LIST_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(100);

/// First interval between reads of the list of gateways; doubles with each successful read.
const INITIAL_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Newest usage windows whose counts are sent; given the report deadline, these include all windows
/// that may still be unreported.
const SENT_WINDOWS: usize = 4;

/// Maximum entries of silent gateways that are removed after one read of the list.
const MAX_REMOVALS: usize = 10;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Maximum counts per datagram, of at most 12 bytes each; further counts go into more datagrams.
const MAX_COUNTS: usize = 800;

/// Entry of a gateway in the store.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct Entry {
    address: net::SocketAddr,
}

/// Registers this gateway and exchanges messages with the others; never returns.
pub async fn run(
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    socket: tokio_net::UdpSocket,
    incarnation: ids::Incarnation,
) {
    let socket = rc::Rc::new(socket);
    let list = maintain_list(state.clone(), store);
    let sender = rc::Rc::new(Sender { state, socket, incarnation });
    let receive = receive(sender.clone());
    futures::future::join4(list, send_loads(sender.clone()), send_counts(sender), receive).await;
}

/// Registers this gateway in the store and reads the list of the others.
///
/// It registers before it reads: of two gateways that start at the same time, at least one finds
/// the other and introduces itself with its first message.
async fn maintain_list(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let mut interval = INITIAL_LIST_INTERVAL;
    let mut reporter_since = None;
    loop {
        let result = register_and_list(&state, &store).await;
        match &result {
            Ok(rows) => remove_silent(&state, &store, rows, &mut reporter_since).await,
            Err(error) => {
                tracing::info!(
                    reason = error.to_string(),
                    "failed to register or to read the list of gateways"
                );
            }
        }
        time::sleep(interval).await;
        if result.is_ok() {
            let gateways = u32::try_from(state.gateway_count()).unwrap_or(u32::MAX);
            interval =
                (interval * 2).min(MIN_LIST_INTERVAL.max(LIST_INTERVAL_PER_GATEWAY * gateways));
        }
    }
}

async fn register_and_list(
    state: &state::State,
    store: &store::Store,
) -> Result<store::Rows, store::StoreError> {
    let table = store::Table::Gateways;
    let node = &state.settings.node;
    let entry = Entry { address: state.settings.gossip_address };
    let data = serde_json::to_vec(&entry).expect("an entry can be encoded as JSON");
    if !state.registered.get() {
        let write =
            store::Write { key: node.clone(), data: Some(data.clone()), expected_version: None };
        (store.commit)(store::Commit { table, writes: vec![write], preconditions: Vec::new() })
            .await?;
        state.registered.set(true);
        tracing::info!(address = %entry.address, "registered in the list of gateways");
    }
    let rows = (store.read)(table).await?;
    let own = rows.rows.iter().find(|row| row.key == *node);
    state.registered.set(own.is_some_and(|row| row.data.as_ref() == Some(&data)));
    let now = state.clock.now();
    for row in rows.rows.iter().filter(|row| row.key != *node) {
        let entry: Result<Entry, _> =
            serde_json::from_slice(row.data.as_deref().unwrap_or_default());
        match entry {
            Ok(entry) => state.peers.borrow_mut().add_listed(row.key.clone(), entry.address, now),
            Err(error) => {
                tracing::warn!(
                    gateway = row.key,
                    reason = error.to_string(),
                    "invalid gateway entry"
                );
            }
        }
    }
    Ok(rows)
}

/// Removes the entries of gateways that have been silent for long.
///
/// Only gateways that may report usage receive messages from every gateway, and only some time
/// after they became one. A live gateway that was removed registers again at its next read of the
/// list.
async fn remove_silent(
    state: &state::State,
    store: &store::Store,
    rows: &store::Rows,
    reporter_since: &mut Option<time::Instant>,
) {
    let now = state.clock.now();
    if !state.peers.borrow().is_among_first(&state.settings.node, peers::REPORTER_COUNT, now) {
        *reporter_since = None;
        return;
    }
    let since = *reporter_since.get_or_insert(now);
    if now.saturating_duration_since(since) < peers::PEER_EXPIRY {
        return;
    }
    let is_silent = |row: &&store::Row| state.peers.borrow().is_expired(&row.key, now);
    for row in rows.rows.iter().filter(is_silent).take(MAX_REMOVALS) {
        let (key, expected_version) = (row.key.clone(), Some(row.version));
        let writes = vec![store::Write { key, data: None, expected_version }];
        let commit =
            store::Commit { table: store::Table::Gateways, writes, preconditions: Vec::new() };
        match (store.commit)(commit).await {
            Ok(_) => tracing::info!(gateway = row.key, "removed the entry of a silent gateway"),
            Err(error) => {
                let reason = error.to_string();
                tracing::info!(
                    gateway = row.key,
                    reason,
                    "failed to remove the entry of a silent gateway"
                );
            }
        }
    }
}

/// Sends messages to other gateways.
struct Sender {
    state: rc::Rc<state::State>,
    socket: rc::Rc<tokio_net::UdpSocket>,
    incarnation: ids::Incarnation,
}

impl Sender {
    async fn send(&self, message: &peers::GossipMessage, addresses: &[net::SocketAddr]) {
        let bytes = postcard::to_allocvec(message).expect("a message can be encoded with postcard");
        for address in addresses {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                tracing::debug!(reason = error.to_string(), %address, "failed to send a message");
            }
        }
    }

    /// Sends the load and the counts, in as many datagrams as the counts need.
    async fn send_counts(&self, addresses: &[net::SocketAddr]) {
        let counts = recent_counts(&self.state);
        let mut message = load_message(&self.state, self.incarnation);
        if counts.is_empty() {
            return self.send(&message, addresses).await;
        }
        for chunk in counts.chunks(MAX_COUNTS) {
            message.counts = chunk.to_vec();
            self.send(&message, addresses).await;
        }
    }
}

/// Sends the load to the neighbours at regular intervals; in a small fleet the counts as well.
async fn send_loads(sender: rc::Rc<Sender>) {
    let state = &sender.state;
    loop {
        let now = state.clock.now();
        state.peers.borrow_mut().remove_expired(now);
        let addresses = state.peers.borrow().neighbours(&state.settings.node, now);
        if state.peers.borrow().is_partial_mesh() {
            sender.send(&load_message(state, sender.incarnation), &addresses).await;
        } else {
            sender.send_counts(&addresses).await;
        }
        adjust_clock(state);
        state.pool.prune();
        time::sleep(gossip_timing::load_interval(addresses.len())).await;
    }
}

/// In a large fleet, sends the counts to the gateways that may report usage at regular intervals.
async fn send_counts(sender: rc::Rc<Sender>) {
    let state = &sender.state;
    loop {
        let interval = gossip_timing::count_interval(state.gateway_count());
        let addresses = state.peers.borrow().reporters(interval, state.clock.now());
        if state.peers.borrow().is_partial_mesh() {
            sender.send_counts(&addresses).await;
        }
        time::sleep(interval).await;
    }
}

/// Builds a message with the current load and without counts.
fn load_message(state: &state::State, incarnation: ids::Incarnation) -> peers::GossipMessage {
    let backend_load = |server: &directory::BackendState| {
        peers::BackendLoad::from((server.hash, &server.own_load))
    };
    let busy = |server: &&directory::BackendState| server.own_load != directory::Load::default();
    peers::GossipMessage {
        node: state.settings.node.clone(),
        incarnation,
        wall_time: state.median_clock.borrow().time_at(state.clock.now()),
        loads: state.directory.borrow().all().filter(busy).map(backend_load).collect(),
        counts: Vec::new(),
    }
}

fn recent_counts(state: &state::State) -> Vec<peers::UsageCount> {
    let count = |(window, team, requests)| peers::UsageCount { window, team, requests };
    state.usage_counts.borrow().newest(SENT_WINDOWS).map(count).collect()
}

fn adjust_clock(state: &state::State) {
    let now = state.clock.now();
    let others = state.peers.borrow().clock_estimates(now);
    let wall = state.clock.wall();
    state.median_clock.borrow_mut().adjust(now, wall, others);
    let time = state.median_clock.borrow().time_at(now);
    state
        .peers
        .borrow_mut()
        .prune_counts(usage_counts::window_at(time, state.settings.usage_window));
}

async fn receive(sender: rc::Rc<Sender>) {
    let (state, socket) = (&sender.state, &sender.socket);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(reason = error.to_string(), "failed to receive a datagram");
                time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match postcard::from_bytes::<peers::GossipMessage>(&buffer[..length]) {
            Ok(message) => {
                let has_counts = !message.counts.is_empty();
                state.peers.borrow_mut().handle_message(message, from, state.clock.now());
                if has_counts && state.peers.borrow().is_partial_mesh() {
                    // Tells the sender that its counts were received.
                    sender.send(&load_message(state, sender.incarnation), &[from]).await;
                }
            }
            Err(error) => {
                tracing::warn!(reason = error.to_string(), %from, "received an invalid datagram");
            }
        }
    }
}
