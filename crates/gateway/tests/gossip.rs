//! Gateways that hear of each other.

mod support;

use std::net;
use std::rc;
use std::time::Duration;

use azuregap_gateway::clock;
use azuregap_gateway::directory;
use azuregap_gateway::peers;
use azuregap_gateway::service;
use azuregap_gateway::state;
use azuregap_gateway::store::Table;
use googletest::prelude::*;
use tokio::net as tokio_net;
use tokio::time;

/// A gateway that exchanges beacons on a port of its own.
async fn gateway(fake: &support::Fake, node: &str, incarnation: u64) -> rc::Rc<state::State> {
    let socket = tokio_net::UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let mut settings = support::settings(node);
    settings.peers = socket.local_addr().expect("an address");
    let state = rc::Rc::new(state::State::new(settings, support::CODEC, clock::Clock::system()));
    let store = rc::Rc::new(fake.store());
    actix_rt::spawn(service::run_gossip(state.clone(), store, socket, incarnation));
    state
}

fn beacon(node: &str, running: u32) -> peers::Beacon {
    let work = peers::Work { backend: 7, running, long: 1, prefill: 100, late: 0 };
    peers::Beacon {
        node: node.to_owned(),
        incarnation: 1,
        true_time: support::WALL,
        work: vec![work],
        counts: Vec::new(),
    }
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

#[gtest]
fn gateways_that_start_at_the_same_moment_hear_each_other_within_two_seconds() {
    actix_rt::System::new().block_on(async {
        let fake = support::Fake::default();
        fake.tables.borrow_mut().delay = Duration::from_millis(20);
        let mut gateways = Vec::new();
        for (node, incarnation) in [("g-1", 1), ("g-2", 2), ("g-3", 3)] {
            gateways.push(gateway(&fake, node, incarnation).await);
        }
        time::sleep(Duration::from_secs(2)).await;
        for state in &gateways {
            expect_that!(state.gateways(), eq(3), "{}", state.settings.node);
        }
        expect_that!(fake.get(Table::Gateways, "g-1"), some(anything()));
    });
}

#[gtest]
fn garbage_on_the_datagram_port_changes_nothing() {
    actix_rt::System::new().block_on(async {
        let fake = support::Fake::default();
        let state = gateway(&fake, "g-1", 1).await;
        let other = gateway(&fake, "g-2", 2).await;
        let socket = tokio_net::UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        for length in [0, 1, 7, 300] {
            let bytes = vec![0xff; length];
            socket.send_to(&bytes, state.settings.peers).await.expect("a datagram");
        }
        time::sleep(Duration::from_millis(1_500)).await;
        expect_that!(state.gateways(), eq(2));
        expect_that!(other.gateways(), eq(2));
    });
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn load_that_was_heard_counts_until_it_is_stale() {
    let start = time::Instant::now();
    let mut peers = peers::Peers::default();
    peers.heard(beacon("g-2", 3), address(2), start);
    peers.heard(beacon("g-3", 4), address(3), start);
    let both = directory::Load { running: 7, long: 2, prefill: 200, late: 0 };
    expect_that!(peers.load(7, start), eq(both));
    expect_that!(peers.load(8, start), eq(directory::Load::default()));
    // What a gateway said last replaces what it said before.
    peers.heard(beacon("g-3", 1), address(3), start);
    expect_that!(peers.load(7, start).running, eq(4));
    expect_that!(peers.load(7, start + Duration::from_secs(2)).running, eq(0));
    expect_that!(peers.alive(start + Duration::from_secs(2)), eq(2));
    expect_that!(peers.alive(start + Duration::from_secs(20)), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_few_gateways_compete_for_the_lease_and_all_that_hear_nobody() {
    let start = time::Instant::now();
    let mut peers = peers::Peers::default();
    let nodes: Vec<_> = (0..20).map(|n| format!("g-{n}")).collect();
    for node in &nodes {
        peers.heard(beacon(node, 0), address(2), start);
    }
    let among = nodes.iter().filter(|node| peers.is_among(node, 3, start)).count();
    expect_that!(among, eq(3));
    let later = start + Duration::from_secs(5);
    let among = nodes.iter().filter(|node| peers.is_among(node, 3, later)).count();
    expect_that!(among, eq(20));
}
