//! Tells other gateways of this one, and hears of them.

use std::net;
use std::rc;
use std::time::Duration;

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;
use tokio::net as tokio_net;
use tokio::time;

use crate::decision::windows;
use crate::directory;
use crate::peers;
use crate::state;
use crate::store;

/// Shortest pause between two beacons.
const LEAST_INTERVAL: Duration = Duration::from_millis(200);

/// Pause for each other gateway, so that the cost of hearing all of them stays the same.
const INTERVAL_EACH: Duration = Duration::from_millis(25);

/// Pause between two readings of the list of gateways.
const LIST_INTERVAL: Duration = Duration::from_secs(20);

/// First pause between two readings of the list of gateways; doubles with each.
const FIRST_LIST_INTERVAL: Duration = Duration::from_secs(1);

/// Usage windows that a beacon tells of: with the due time of reports, those not yet reported.
const WINDOWS: usize = 4;

/// Largest datagram, in bytes.
const MOST_BYTES: usize = 16 * 1024;

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
    let send = send(state.clone(), socket.clone(), incarnation);
    futures::future::join3(list, send, receive(state, socket)).await;
}

/// Enters this gateway in the store and learns of the others there.
///
/// It enters first: of two gateways that start at the same moment, one at least finds the other,
/// and its first beacon tells the other of it.
async fn list(state: rc::Rc<state::State>, store: rc::Rc<store::Store>) {
    let mut pause = FIRST_LIST_INTERVAL;
    loop {
        let result = enter(&state, &store).await;
        if let Err(error) = &result {
            tracing::info!(reason = error.to_string(), "the list of gateways was not read");
        }
        time::sleep(pause).await;
        if result.is_ok() {
            pause = (pause * 2).min(LIST_INTERVAL);
        }
    }
}

async fn enter(state: &state::State, store: &store::Store) -> Result<(), store::StoreError> {
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
            Ok(entry) => state.peers.borrow_mut().learn(row.key.clone(), entry.address, now),
            Err(error) => {
                tracing::warn!(gateway = row.key, reason = error.to_string(), "not usable");
            }
        }
    }
    Ok(())
}

async fn send(
    state: rc::Rc<state::State>,
    socket: rc::Rc<tokio_net::UdpSocket>,
    incarnation: ids::Incarnation,
) {
    loop {
        let now = state.clock.now();
        let addresses = state.peers.borrow_mut().addresses(now);
        let beacon = beacon(&state, incarnation);
        let bytes = postcard::to_allocvec(&beacon).expect("a beacon can always be encoded");
        for address in &addresses {
            if let Err(error) = socket.send_to(&bytes, address).await {
                tracing::debug!(reason = error.to_string(), %address, "a beacon was not sent");
            }
        }
        adjust_time(&state);
        state.pool.prune();
        let each = INTERVAL_EACH * u32::try_from(addresses.len()).unwrap_or(u32::MAX);
        time::sleep(LEAST_INTERVAL.max(each)).await;
    }
}

/// What this gateway says of itself.
fn beacon(state: &state::State, incarnation: ids::Incarnation) -> peers::Beacon {
    let work = |known: &directory::Known| peers::Work {
        backend: known.hash,
        running: known.load.running,
        long: known.load.long,
        prefill: known.load.prefill,
        late: known.load.late,
    };
    let busy = |known: &&directory::Known| known.load.running > 0;
    let count = |(window, team, requests)| peers::Count { window, team, requests };
    peers::Beacon {
        node: state.settings.node.clone(),
        incarnation,
        true_time: state.true_time.borrow().at(state.clock.now()),
        work: state.directory.borrow().all().filter(busy).map(work).collect(),
        counts: state.windows.borrow().newest(WINDOWS).map(count).collect(),
    }
}

fn adjust_time(state: &state::State) {
    let now = state.clock.now();
    let others = state.peers.borrow().times(now);
    let wall = state.clock.wall();
    state.true_time.borrow_mut().adjust(now, wall, others);
    let time = state.true_time.borrow().at(now);
    state.peers.borrow_mut().prune(windows::window_at(time, state.settings.window));
}

async fn receive(state: rc::Rc<state::State>, socket: rc::Rc<tokio_net::UdpSocket>) {
    let mut buffer = vec![0; MOST_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(reason = error.to_string(), "no datagram was received");
                time::sleep(LEAST_INTERVAL).await;
                continue;
            }
        };
        match postcard::from_bytes::<peers::Beacon>(&buffer[..length]) {
            Ok(beacon) => state.peers.borrow_mut().heard(beacon, from, state.clock.now()),
            Err(error) => {
                tracing::warn!(reason = error.to_string(), %from, "a datagram is not a beacon");
            }
        }
    }
}
