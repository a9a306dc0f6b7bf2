//! Gateways that tell each other the limits of backend servers, and keep them in the store.

mod support;

use std::time::Duration;

use azuregap_gateway::decision::backend_limit;
use azuregap_gateway::directory;
use azuregap_gateway::peers;
use azuregap_gateway::state;
use azuregap_gateway::store;
use googletest::prelude::*;
use support::gossiping::*;

/// Start of the backend server's run, in milliseconds since 1970.
const RUN: u64 = 1_790_000_000_000;

fn hash() -> u32 {
    directory::id_hash("b-0")
}

/// Lets a gateway hear the limit in a response that came just now.
fn hear(state: &state::State, limit: backend_limit::NamedLimit) {
    let now = state.clock.now();
    let statement = backend_limit::Statement { limit, sent_at: now, heard_at: now };
    state.backend_limits.borrow_mut().record(hash(), RUN, &statement, now);
    state.announce_news();
}

fn limit(state: &state::State) -> Option<f64> {
    state.backend_limits.borrow().limit(hash(), RUN)
}

#[gtest]
fn gateways_tell_each_other_a_limit_and_its_end() {
    actix_rt::System::new().block_on(async {
        let fake = support::FakeStore::default();
        let (first, second) = (gateway(&fake, "g-1").await, gateway(&fake, "g-2").await);
        pause(500).await;
        hear(&first, backend_limit::NamedLimit::PerSecond(1.8));
        pause(200).await;
        expect_that!(limit(&second), some(eq(1.8)));
        hear(&first, backend_limit::NamedLimit::PerSecond(0.5));
        pause(400).await;
        expect_that!(limit(&second), some(eq(0.5)));
        hear(&first, backend_limit::NamedLimit::None);
        pause(400).await;
        expect_that!(limit(&second), none());
    });
}

#[gtest]
fn a_limit_survives_the_end_of_all_gateways_and_its_end_removes_it() {
    actix_rt::System::new().block_on(async {
        let fake = support::FakeStore::default();
        let first = gateway(&fake, "g-1").await;
        support::list_for_long(&first);
        hear(&first, backend_limit::NamedLimit::PerSecond(1.8));
        pause(300).await;
        let _ = first.stopping.send(true);
        fake.put(store::Table::Gateways, "g-1", None);
        // The second gateway has never heard of the first one.
        let second = gateway(&fake, "g-2").await;
        expect_that!(limit(&second), some(eq(1.8)));
        support::list_for_long(&second);
        pause(300).await;
        hear(&second, backend_limit::NamedLimit::None);
        pause(300).await;
        let key = format!("limit/{:08x}", hash());
        expect_that!(fake.get(store::Table::Gateways, &key), none());
    });
}

#[gtest]
fn malformed_and_obsolete_rows_are_no_limits() {
    actix_rt::System::new().block_on(async {
        let fake = support::FakeStore::default();
        fake.put(store::Table::Gateways, "limit/42", Some("no limit"));
        let old = format!(
            r#"{{"backend_hash":{},"started_ms":{RUN},"limit":1.8,"saved_at":{{"secs":1,"nanos":0}}}}"#,
            hash()
        );
        fake.put(store::Table::Gateways, "limit/43", Some(&old));
        let state = gateway(&fake, "g-1").await;
        expect_that!(state.registered.get(), is_true());
        expect_that!(state.backend_limits.borrow().is_empty(), is_true());
    });
}

/// Backend servers started in this century.
#[gtest]
fn messages_with_limits_are_understood() {
    let told = backend_limit::ToldLimit {
        backend_hash: u32::MAX,
        started_ms: RUN,
        limit: Some(1.8),
        sent_age: Duration::from_millis(150),
        heard_age: Duration::from_millis(20),
    };
    let message = peers::GossipMessage {
        node: "g-1".to_owned(),
        incarnation: 1,
        wall_time: support::START_TIME,
        loads: Vec::new(),
        counts: Vec::new(),
        notice: Some(peers::UsageNotice::default()),
        cached: Vec::new(),
        news: peers::News::default(),
        limits: vec![told, backend_limit::ToldLimit { limit: None, ..told }],
        is_introduction: true,
        suspects: Some(Vec::new()),
        teams: Vec::new(),
    };
    expect_that!(peers::GossipMessage::decode(&message.encode()), ok(eq(&message)));
}
