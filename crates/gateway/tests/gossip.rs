//! Gossip between gateways.

mod support;

use std::collections;
use std::net;
use std::rc;
use std::time::Duration;

use azuregap_gateway::clock;
use azuregap_gateway::configuration;
use azuregap_gateway::decision::gossip_timing;
use azuregap_gateway::decision::homes;
use azuregap_gateway::decision::placement;
use azuregap_gateway::decision::usage_counts;
use azuregap_gateway::directory;
use azuregap_gateway::peers;
use azuregap_gateway::service;
use azuregap_gateway::state;
use azuregap_gateway::store::Table;
use googletest::prelude::*;
use tokio::net as tokio_net;
use tokio::time;

/// Starts a gateway that exchanges gossip messages on a port of its own.
async fn gateway(fake: &support::FakeStore, node: &str, incarnation: u64) -> rc::Rc<state::State> {
    let socket = tokio_net::UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let mut settings = support::settings(node);
    settings.gossip_address = socket.local_addr().expect("an address");
    let state = rc::Rc::new(state::State::new(settings, support::CODEC, clock::Clock::system()));
    let store = rc::Rc::new(fake.store());
    actix_rt::spawn(service::run_gossip(state.clone(), store, socket, incarnation));
    state
}

fn team(name: &str) -> configuration::Team {
    configuration::Team { name: name.to_owned(), tier: 0, homes: homes::Regions::new() }
}

fn message(node: &str, running: u32) -> peers::GossipMessage {
    let entry = peers::RankEntry { rank: 2, in_flight: running, pending_prefill: 100 };
    let load = peers::BackendLoad { backend_hash: 7, long_prompts: 1, ranks: vec![entry] };
    peers::GossipMessage {
        node: node.to_owned(),
        incarnation: 1,
        wall_time: support::START_TIME,
        cached: Vec::new(),
        news: peers::News::default(),
        limits: Vec::new(),
        is_introduction: false,
        suspects: None,
        teams: Vec::new(),
        loads: vec![load],
        counts: Vec::new(),
        notice: None,
    }
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 1], port))
}

#[gtest]
fn gateways_that_start_at_the_same_time_know_each_other_within_two_seconds() {
    actix_rt::System::new().block_on(async {
        let fake = support::FakeStore::default();
        fake.tables.borrow_mut().delay = Duration::from_millis(20);
        let mut gateways = Vec::new();
        for (node, incarnation) in [("g-1", 1), ("g-2", 2), ("g-3", 3)] {
            gateways.push(gateway(&fake, node, incarnation).await);
        }
        time::sleep(Duration::from_secs(2)).await;
        for state in &gateways {
            expect_that!(state.gateway_count(), eq(3), "{}", state.settings.node);
        }
        expect_that!(fake.get(Table::Gateways, "g-1"), some(anything()));
    });
}

/// Guards against usage that is dropped since the gateway that reports it has started after its team
/// was removed.
#[gtest]
fn a_removed_team_is_named_to_gateways_that_get_its_counts() {
    actix_rt::System::new().block_on(async {
        let fake = support::FakeStore::default();
        let old = gateway(&fake, "g-1", 1).await;
        let removed = || configuration::Configuration::new(2).with_required_keys();
        let listed = removed().with_team(team("listed"), ["key".to_owned()]);
        old.set_configuration(listed.clone());
        for name in ["removed", "listed"] {
            old.count_usage(name, Duration::ZERO);
        }
        let new = gateway(&fake, "g-2", 2).await;
        new.set_configuration(listed);
        let names = || new.team_names.borrow().values().cloned().collect::<Vec<_>>();
        let started = time::Instant::now();
        while names().is_empty() && started.elapsed() < Duration::from_secs(10) {
            time::sleep(Duration::from_millis(20)).await;
        }
        expect_that!(names(), elements_are![eq("removed")]);
    });
}

#[gtest]
fn invalid_datagrams_are_ignored() {
    actix_rt::System::new().block_on(async {
        let fake = support::FakeStore::default();
        let state = gateway(&fake, "g-1", 1).await;
        let other = gateway(&fake, "g-2", 2).await;
        let socket = tokio_net::UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        for length in [0, 1, 7, 300] {
            let bytes = vec![0xff; length];
            socket.send_to(&bytes, state.settings.gossip_address).await.expect("a datagram");
        }
        time::sleep(Duration::from_millis(1_500)).await;
        expect_that!(state.gateway_count(), eq(2));
        expect_that!(other.gateway_count(), eq(2));
    });
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn reported_load_counts_until_it_expires() {
    let start = time::Instant::now();
    let mut peers = peers::Peers::default();
    peers.handle_message(message("g-2", 3), address(2), start);
    peers.handle_message(message("g-3", 4), address(3), start);
    let both = peers.load(7, start);
    expect_that!(both.long_prompts, eq(2));
    expect_that!(both.total(), eq(directory::RankLoad { in_flight: 7, pending_prefill: 200 }));
    expect_that!(both.up_to_rank(1), eq(directory::RankLoad::default()));
    expect_that!(both.up_to_rank(2), eq(both.total()));
    expect_that!(peers.load(8, start), eq(directory::Load::default()));
    // The last message of a gateway replaces the one before.
    peers.handle_message(message("g-3", 1), address(3), start);
    expect_that!(peers.load(7, start).total().in_flight, eq(4));
    expect_that!(peers.load(7, start + Duration::from_secs(2)).total().in_flight, eq(0));
    expect_that!(peers.live_count("g-1", start + Duration::from_secs(2)), eq(2));
    expect_that!(peers.live_count("g-1", start + Duration::from_secs(20)), eq(0));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn few_gateways_compete_for_the_lease_unless_they_get_no_messages() {
    let start = time::Instant::now();
    let mut peers = peers::Peers::default();
    let nodes: Vec<_> = (0..20).map(|n| format!("g-{n}")).collect();
    for node in &nodes {
        peers.handle_message(message(node, 0), address(2), start);
    }
    let competing = nodes.iter().filter(|node| peers.is_among_first(node, 3, start)).count();
    expect_that!(competing, eq(3));
    let later = start + Duration::from_secs(5);
    let competing = nodes.iter().filter(|node| peers.is_among_first(node, 3, later)).count();
    expect_that!(competing, eq(20));
}

/// Peers of a gateway in a fleet in which all gateways are listed in the store.
fn listed_peers(fleet: usize, now: time::Instant) -> peers::Peers {
    let mut peers = peers::Peers::default();
    for n in 0..fleet {
        peers.add_listed(format!("g-{n}"), address(n as u16), now);
    }
    peers
}

fn ports(addresses: &[net::SocketAddr]) -> collections::BTreeSet<u16> {
    addresses.iter().map(net::SocketAddr::port).collect()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_number_of_neighbours_is_bounded_and_neighbours_are_mutual() {
    let now = time::Instant::now();
    for (fleet, expected) in [(5, 4), (41, 40), (42, 40), (300, 40), (3_100, 40)] {
        let peers = listed_peers(fleet, now);
        for n in [0, fleet / 3, fleet - 1] {
            let neighbours = ports(&peers.neighbours(&format!("g-{n}"), now));
            expect_that!(neighbours.len(), eq(expected), "g-{n} of {fleet}");
            for other in &neighbours {
                let back = ports(&peers.neighbours(&format!("g-{other}"), now));
                expect_that!(
                    back,
                    contains(eq(&(n as u16))),
                    "g-{other} sends to g-{n} of {fleet}"
                );
            }
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_neighbours_are_replaced_but_still_get_messages() {
    let start = time::Instant::now();
    let mut peers = listed_peers(300, start);
    let before = ports(&peers.neighbours("g-7", start));
    let later = start + Duration::from_secs(10);
    let silent: Vec<_> = before.iter().copied().take(10).collect();
    for n in (0..300_u16).filter(|n| !silent.contains(n)) {
        peers.handle_message(message(&format!("g-{n}"), 0), address(n), later);
    }
    let after = ports(&peers.neighbours("g-7", later));
    expect_that!(after.is_superset(&before), eq(true));
    expect_that!(after.len(), ge(before.len() + silent.len() / 2));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_reporters_are_replaced_but_still_get_counts() {
    let start = time::Instant::now();
    let interval = Duration::from_secs(1);
    let mut peers = listed_peers(300, start);
    let first = peers.reporters(interval, start);
    expect_that!(first.len(), eq(peers::REPORTER_COUNT));
    let later = start + Duration::from_secs(10);
    for reporter in &first[1..] {
        peers.handle_message(message(&format!("g-{}", reporter.port()), 0), *reporter, later);
    }
    let all = peers.reporters(interval, later);
    expect_that!(all[..3], eq(&first[..]));
    expect_that!(all.len(), gt(3));
    // One of the additional gateways replies.
    peers.handle_message(message(&format!("g-{}", all[3].port()), 0), all[3], later);
    expect_that!(peers.reporters(interval, later).len(), eq(4));
}

#[gtest]
fn every_count_reaches_all_possible_reporters_in_a_fleet_of_sixty() {
    actix_rt::System::new().block_on(async {
        let fake = support::FakeStore::default();
        let mut gateways = Vec::new();
        for n in 0..60 {
            let state = gateway(&fake, &format!("g-{n}"), n).await;
            state.count_usage("team", Duration::ZERO);
            gateways.push(state);
        }
        time::sleep(Duration::from_secs(6)).await;
        // A window may end while they start, so their counts may be of two.
        let mut counted = collections::BTreeMap::<_, u64>::new();
        for state in &gateways {
            for (window, count) in state.usage_counts.borrow().totals(2) {
                *counted.entry(window).or_default() += count;
            }
        }
        expect_that!(counted.values().sum::<u64>(), eq(60));
        let mut reporters = 0;
        for state in &gateways {
            expect_that!(state.gateway_count(), eq(60), "{}", state.settings.node);
            let now = state.clock.now();
            let peers = state.peers.borrow();
            if peers.is_among_first(&state.settings.node, peers::REPORTER_COUNT, now) {
                reporters += 1;
                for (window, count) in &counted {
                    let mut sum = collections::BTreeMap::new();
                    state.usage_counts.borrow().add_to(*window, &mut sum);
                    peers.counts().add_to(*window, &mut sum);
                    let sum = sum.values().sum::<u64>();
                    expect_that!(sum, eq(*count), "{}, window {window}", state.settings.node);
                }
            }
        }
        expect_that!(reporters, eq(peers::REPORTER_COUNT));
    });
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_load_of_unreported_gateways_is_extrapolated_evenly() {
    let start = time::Instant::now();
    let mut small = listed_peers(20, start);
    expect_that!(small.unreported_ratio("g-300", start + Duration::from_secs(3)), eq(0.0));
    let now = start + Duration::from_secs(3);
    let mut large = listed_peers(300, start);
    for n in 0..100_u16 {
        large.handle_message(message(&format!("g-{n}"), 1), address(n), now);
        small.handle_message(message(&format!("g-{}", n % 20), 1), address(n), now);
    }
    expect_that!(large.unreported_ratio("g-300", now), approx_eq(2.0));
    let known = [large.load(7, now), large.load(8, now)];
    let unreported = placement::extrapolate_load(&known, large.unreported_ratio("g-300", now));
    expect_that!(unreported.total().in_flight, eq(100));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_lost_datagram_does_not_make_the_load_of_a_neighbour_vanish() {
    for fleet in [42, 68, 3_000] {
        let start = time::Instant::now();
        let mut peers = listed_peers(fleet, start);
        peers.handle_message(message("g-1", 5), address(1), start);
        let interval = gossip_timing::load_interval(peers.neighbours("g-0", start).len());
        // The message after one interval is lost, the next one comes a little late.
        let next = start + interval * 2 + Duration::from_millis(200);
        expect_that!(peers.load(7, next).total().in_flight, eq(5), "{fleet} gateways");
        let gone = start + interval * 3;
        expect_that!(peers.load(7, gone).total().in_flight, eq(0), "{fleet} gateways");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn silent_neighbours_do_not_delay_the_load_until_it_expires() {
    for fleet in [68, 3_000] {
        let start = time::Instant::now();
        let mut peers = listed_peers(fleet, start);
        let now = start + Duration::from_secs(20);
        for n in (0..fleet as u16).filter(|n| n % 2 == 0) {
            peers.handle_message(message(&format!("g-{n}"), 1), address(n), now);
        }
        let neighbours = peers.neighbours("g-0", now).len();
        expect_that!(neighbours, gt(40), "{fleet} gateways");
        let interval = gossip_timing::load_interval(neighbours);
        let before_next = now + interval * 2;
        expect_that!(peers.load(7, before_next).total().in_flight, gt(0), "{fleet} gateways");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn gateways_that_are_gone_are_not_counted_as_alive() {
    for fleet in [68_u16, 3_000] {
        for gone_of_ten in [0, 1, 3] {
            let start = time::Instant::now();
            let mut peers = listed_peers(usize::from(fleet), start);
            let now = start + Duration::from_secs(20);
            let alive = || (0..fleet).filter(|n| n % 10 >= gone_of_ten);
            // The neighbours beyond silent ones find each other too.
            let neighbours = ports(&peers.neighbours("g-9", now));
            for n in alive().filter(|n| neighbours.contains(n)) {
                peers.handle_message(message(&format!("g-{n}"), 0), address(n), now);
            }
            let live = alive().count();
            let estimate = peers.live_count("g-9", now);
            expect_that!(estimate * 10, ge(live * 7), "{gone_of_ten} of ten of {fleet} gone");
            expect_that!(estimate * 10, le(live * 12), "{gone_of_ten} of ten of {fleet} gone");
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_gateway_that_hears_nobody_takes_no_larger_share_of_the_budgets() {
    for fleet in [2, 4, 41, 68, 3_000] {
        let start = time::Instant::now();
        let peers = listed_peers(fleet, start);
        let later = start + Duration::from_secs(60);
        expect_that!(peers.known_count(), eq(fleet), "{fleet} gateways");
        if fleet > 41 {
            expect_that!(peers.live_count("g-0", later), eq(fleet), "{fleet} gateways");
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn the_reporter_knows_whose_counts_are_missing_in_a_fleet_of_thousands() {
    for fleet in [68_u16, 3_000] {
        let start = time::Instant::now();
        let mut peers = listed_peers(usize::from(fleet), start);
        let now = start + Duration::from_secs(8);
        let (number, length) = (support::START_TIME.as_secs() / 5, Duration::from_secs(5));
        let ended = Duration::from_secs(3);
        let wall = support::START_TIME + length + ended;
        let window = usage_counts::EndedWindow::new(number, length, wall);
        let mut tell = |n: u16, requests: u64, total: u64| {
            let mut message = message(&format!("g-{n}"), 0);
            message.wall_time = wall;
            message.counts = vec![peers::UsageCount { window: number, team: 1, requests }];
            message.notice = Some(peers::UsageNotice {
                can_report: true,
                totals: Some(vec![(number, total)]),
                ..peers::UsageNotice::default()
            });
            peers.handle_message(message, address(n), now);
        };
        // The counts of one gateway need two datagrams, of which one was lost; another one is
        // silent. Both are known to the store's list.
        (2..fleet).for_each(|n| tell(n, 3, 3));
        tell(1, 2, 5);
        let collecting = Duration::from_secs(1);
        let missing = peers.missing_counts(&window, collecting, now);
        expect_that!(missing, unordered_elements_are![eq(&"g-0"), eq(&"g-1")]);
        // After several requests without an answer only those that were heard are waited for.
        let missing = peers.missing_counts(&window, Duration::from_secs(60), now + ended);
        expect_that!(missing, contains(eq(&"g-1")));
        let mut sum = collections::BTreeMap::new();
        peers.counts().add_to(number, &mut sum);
        expect_that!(sum[&1], eq(u64::from(fleet - 2) * 3 + 2));
    }
}
