//! When a gateway may use its part of an allowance that the fleet shares.

mod support;

use std::rc;
use std::time::Duration;

use azuregap_gateway::decision::backend_limit;
use azuregap_gateway::decision::membership;
use azuregap_gateway::decision::membership::Standing;
use azuregap_gateway::service;
use azuregap_gateway::state;
use azuregap_gateway::store::Table;
use googletest::prelude::*;
use tokio::net as tokio_net;
use tokio::task;
use tokio::time;

const WINDOW: Duration = Duration::from_secs(10);

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A gateway that registered and read a list with two others, each at `start`.
fn registered(start: time::Instant) -> membership::Membership {
    let mut membership = membership::Membership::default();
    membership.record_registration(start);
    membership.record_list(["a".to_owned(), "b".to_owned()], start);
    membership
}

#[gtest]
fn a_part_is_used_only_a_window_after_all_listed_gateways_were_heard() {
    let start = time::Instant::now();
    let mut membership = registered(start);
    membership.record_message("a", start + seconds(1));
    expect_that!(membership.standing(WINDOW, start + seconds(30)), eq(Standing::Listed));
    membership.record_message("b", start + seconds(30));
    expect_that!(membership.standing(WINDOW, start + seconds(39)), eq(Standing::Listed));
    expect_that!(membership.standing(WINDOW, start + seconds(40)), eq(Standing::Counted));
}

#[gtest]
fn silent_gateways_delay_the_use_only_until_they_have_read_the_list() {
    let start = time::Instant::now();
    let mut membership = registered(start);
    membership.record_list(["a".to_owned()], start + seconds(50));
    for (at, standing) in [(69, Standing::Listed), (70, Standing::Counted)] {
        let now = start + seconds(at);
        expect_that!(membership.standing(WINDOW, now), eq(standing), "{at} s");
    }
}

#[gtest]
fn no_part_is_used_with_an_old_list_or_a_lost_entry() {
    let start = time::Instant::now();
    let mut membership = membership::Membership::default();
    expect_that!(membership.standing(WINDOW, start), eq(Standing::Unlisted));
    membership.record_registration(start);
    expect_that!(membership.standing(WINDOW, start), eq(Standing::Unlisted));
    // Messages before the first list count too.
    membership.record_message("a", start);
    membership.record_list(["a".to_owned()], start);
    expect_that!(membership.standing(WINDOW, start + seconds(59)), eq(Standing::Counted));
    expect_that!(membership.standing(WINDOW, start + seconds(60)), eq(Standing::Unlisted));
    membership.record_list([], start + seconds(60));
    expect_that!(membership.standing(WINDOW, start + seconds(60)), eq(Standing::Counted));
    membership.record_loss();
    expect_that!(membership.standing(WINDOW, start + seconds(61)), eq(Standing::Unlisted));
    // It registers again, and others may have dropped it meanwhile.
    membership.record_registration(start + seconds(62));
    membership.record_list(["a".to_owned()], start + seconds(62));
    expect_that!(membership.standing(WINDOW, start + seconds(75)), eq(Standing::Listed));
}

/// A running gateway whose clock is the runtime's, which is paused.
async fn run_gateway(fake: &support::FakeStore, node: &str) -> rc::Rc<state::State> {
    let socket = tokio_net::UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let state = support::state(node);
    let store = rc::Rc::new(fake.store());
    actix_rt::spawn(service::run_gossip(state.clone(), store, socket, 1));
    state
}

#[gtest]
fn a_silent_gateway_is_listed_until_its_last_read_is_no_longer_valid() {
    actix_rt::System::new().block_on(async {
        time::pause();
        let fake = support::FakeStore::default();
        fake.put(Table::Gateways, "g-9", Some(r#"{"address":"127.0.0.1:9"}"#));
        let gateway = run_gateway(&fake, "g-1").await;
        let entry = || fake.get(Table::Gateways, "g-9");
        let is_retired = |entry: String| entry.contains(r#""is_retired":true"#);
        time::sleep(seconds(110)).await;
        expect_that!(entry().map(is_retired), some(eq(false)));
        time::sleep(seconds(60)).await;
        expect_that!(entry().map(is_retired), some(eq(true)));
        // Retired for as long as a read of the list is valid, and counted as long.
        time::sleep(seconds(60)).await;
        expect_that!(entry().map(is_retired), some(eq(true)));
        expect_that!(gateway.peers.borrow().known_count(), eq(1));
        time::sleep(seconds(120)).await;
        expect_that!(entry(), none());
    });
}

/// A process of the gateway `g-1` that can be killed.
struct Process {
    state: rc::Rc<state::State>,
    gossip: task::JoinHandle<()>,
}

impl Process {
    async fn start(fake: &support::FakeStore, port: u16) -> Self {
        let socket = tokio_net::UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
        let mut settings = support::settings("g-1");
        settings.gossip_address.set_port(port);
        let state = support::state_with(settings, time::Instant::now());
        // Nothing is known at the start.
        state.membership.borrow_mut().record_loss();
        let store = rc::Rc::new(fake.store());
        let gossip = actix_rt::spawn(service::run_gossip(state.clone(), store, socket, 1));
        Self { state, gossip }
    }

    fn standing(&self) -> Standing {
        let now = self.state.clock.now();
        self.state.membership.borrow().standing(backend_limit::WINDOW, now)
    }
}

/// Standings of a process of `g-1` five seconds and fifty seconds after its start, beside a gateway
/// that is silent, once an earlier process of `g-1` has run for `earlier` seconds.
async fn standings_after(
    earlier: u64,
    port: u16,
    change: impl FnOnce(&support::FakeStore),
) -> [Standing; 2] {
    time::pause();
    let fake = support::FakeStore::default();
    fake.put(Table::Gateways, "g-9", Some(r#"{"address":"127.0.0.1:9"}"#));
    let process = Process::start(&fake, 1).await;
    time::sleep(seconds(earlier)).await;
    process.gossip.abort();
    change(&fake);
    let process = Process::start(&fake, port).await;
    time::sleep(seconds(5)).await;
    let soon = process.standing();
    time::sleep(seconds(45)).await;
    [soon, process.standing()]
}

#[gtest]
fn a_gateway_that_restarts_beside_one_that_is_gone_for_good_waits_for_a_window_only() {
    // Guards against a fleet that refused all requests to limited servers for a minute after all its
    // processes were killed, since one gateway was gone for good.
    let standings = actix_rt::System::new().block_on(standings_after(90, 1, |_| {}));
    expect_that!(standings, eq([Standing::Counted; 2]));
}

#[gtest]
fn a_gateway_waits_for_a_silent_one_that_may_not_have_counted_it() {
    let listed = [Standing::Listed; 2];
    // Killed before the silent gateway must have counted it.
    expect_that!(actix_rt::System::new().block_on(standings_after(10, 1, |_| {})), eq(listed));
    // Another process of the same name may still run at the earlier address.
    expect_that!(actix_rt::System::new().block_on(standings_after(90, 2, |_| {})), eq(listed));
    // The entry was removed, and is back with a copy of the store.
    let restore = |fake: &support::FakeStore| {
        let copy = fake.copy();
        fake.put(Table::Gateways, "g-1", None);
        fake.restore(&copy);
    };
    expect_that!(actix_rt::System::new().block_on(standings_after(90, 1, restore)), eq(listed));
    // The entry can't be read.
    let garble = |fake: &support::FakeStore| fake.put(Table::Gateways, "g-1", Some("?"));
    expect_that!(actix_rt::System::new().block_on(standings_after(90, 1, garble)), eq(listed));
}

#[gtest]
fn a_gateway_that_takes_the_name_of_another_one_waits_also_if_all_listed_ones_were_heard() {
    let start = time::Instant::now();
    let mut membership = membership::Membership::default();
    membership.record_registration_after(membership::Precedent::Replaced, start);
    membership.record_list(["a".to_owned()], start);
    membership.record_message("a", start + seconds(1));
    membership.record_list(["a".to_owned()], start + seconds(40));
    for (at, standing) in [(69, Standing::Listed), (70, Standing::Counted)] {
        let now = start + seconds(at);
        expect_that!(membership.standing(WINDOW, now), eq(standing), "{at} s");
    }
}
