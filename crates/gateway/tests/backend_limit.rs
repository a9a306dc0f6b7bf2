//! What is known about the limits that backend servers name.

use std::time::Duration;

use azuregap_gateway::decision::backend_limit;
use azuregap_gateway::decision::backend_limit::Change;
use azuregap_gateway::decision::backend_limit::NamedLimit;
use azuregap_gateway::metrics;
use googletest::prelude::*;
use tokio::time;

/// Hash of the backend server's id.
const BACKEND: u32 = 7;

/// Start of its run, in milliseconds since 1970.
const RUN: u64 = 100;

/// A limit in a response to a request that was sent and answered so many milliseconds after the start.
type Response = (NamedLimit, u64, u64);

/// A statement in a response to a request that was sent and answered so many milliseconds after
/// `start`.
fn statement(
    start: time::Instant,
    limit: NamedLimit,
    sent_ms: u64,
    heard_ms: u64,
) -> backend_limit::Statement {
    backend_limit::Statement {
        limit,
        sent_at: start + Duration::from_millis(sent_ms),
        heard_at: start + Duration::from_millis(heard_ms),
    }
}

fn record(
    limits: &mut backend_limit::BackendLimits,
    run: u64,
    statement: &backend_limit::Statement,
) -> Option<Change> {
    limits.record(BACKEND, run, statement, statement.heard_at)
}

#[gtest]
fn limit_follows_the_responses_in_the_order_in_which_they_were_made() {
    let (none, some) = (NamedLimit::None, NamedLimit::PerSecond);
    let cases: [(&str, &[Response], Option<f64>); 9] = [
        ("no limit", &[(none, 0, 10)], None),
        ("a limit", &[(some(1.8), 0, 10)], Some(1.8)),
        ("raised", &[(some(1.8), 0, 10), (some(3.0), 20, 30)], Some(3.0)),
        ("lowered", &[(some(1.8), 0, 10), (some(0.5), 20, 30)], Some(0.5)),
        ("ended", &[(some(1.8), 0, 10), (none, 20, 30)], None),
        ("named again", &[(some(1.8), 0, 10), (none, 20, 30), (some(2.0), 40, 50)], Some(2.0)),
        ("a slow response without one", &[(some(1.8), 20, 30), (none, 0, 40)], Some(1.8)),
        (
            "a slow response with a higher one",
            &[(some(1.8), 20, 30), (some(9.0), 0, 40)],
            Some(1.8),
        ),
        ("a slow response with a lower one", &[(some(1.8), 20, 30), (some(0.5), 0, 40)], Some(0.5)),
    ];
    let start = time::Instant::now();
    for (name, responses, expected) in cases {
        let mut limits = backend_limit::BackendLimits::default();
        for (limit, sent_ms, heard_ms) in responses {
            record(&mut limits, RUN, &statement(start, *limit, *sent_ms, *heard_ms));
        }
        expect_that!(limits.limit(BACKEND, RUN), eq(expected), "{name}");
        expect_that!(limits.count(), eq(usize::from(expected.is_some())), "{name}");
    }
}

#[gtest]
fn a_statement_from_before_the_newest_one_changes_nothing() {
    let start = time::Instant::now();
    let mut limits = backend_limit::BackendLimits::default();
    record(&mut limits, RUN, &statement(start, NamedLimit::PerSecond(1.8), 100, 110));
    record(&mut limits, RUN, &statement(start, NamedLimit::None, 200, 210));
    let old = statement(start, NamedLimit::PerSecond(0.1), 100, 120);
    expect_that!(record(&mut limits, RUN, &old), none());
    expect_that!(limits.limit(BACKEND, RUN), none());
}

#[gtest]
fn numbers_that_are_no_limit_never_mean_that_there_is_none() {
    let start = time::Instant::now();
    for rate in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -1.0, -1e-300] {
        let limit = NamedLimit::from_rate(rate);
        expect_that!(limit, eq(NamedLimit::Unreadable), "{rate}");
        let mut limits = backend_limit::BackendLimits::default();
        record(&mut limits, RUN, &statement(start, limit, 0, 10));
        expect_that!(limits.limit(BACKEND, RUN), some(eq(1.0)), "{rate}");
        record(&mut limits, RUN, &statement(start, NamedLimit::PerSecond(0.3), 20, 30));
        record(&mut limits, RUN, &statement(start, limit, 40, 50));
        expect_that!(limits.limit(BACKEND, RUN), some(eq(0.3)), "{rate}");
    }
    for rate in [0.0, -0.0, 1e-300, 0.25, 1e300] {
        expect_that!(NamedLimit::from_rate(rate), eq(NamedLimit::PerSecond(rate.abs())), "{rate}");
    }
}

#[gtest]
fn limit_belongs_to_one_run_of_the_backend_server() {
    let start = time::Instant::now();
    let mut limits = backend_limit::BackendLimits::default();
    record(&mut limits, RUN, &statement(start, NamedLimit::PerSecond(1.8), 0, 10));
    expect_that!(limits.limit(BACKEND, RUN + 1), none());
    expect_that!(record(&mut limits, RUN + 1, &statement(start, NamedLimit::None, 20, 30)), none());
    expect_that!(limits.limit(BACKEND, RUN + 1), none());
    let late = statement(start, NamedLimit::PerSecond(0.5), 40, 50);
    expect_that!(record(&mut limits, RUN, &late), none());
    let named = statement(start, NamedLimit::PerSecond(4.0), 40, 50);
    expect_that!(record(&mut limits, RUN + 1, &named), some(eq(Change::Named(4.0))));
}

#[gtest]
fn remembered_runs_are_bounded_and_those_without_a_limit_go_first() {
    let start = time::Instant::now();
    let mut limits = backend_limit::BackendLimits::default();
    limits.record(0, RUN, &statement(start, NamedLimit::PerSecond(1.0), 0, 10), start);
    limits.record(1, RUN, &statement(start, NamedLimit::PerSecond(1.0), 0, 10), start);
    limits.record(1, RUN, &statement(start, NamedLimit::None, 20, 30), start);
    for backend in 2..20_000 {
        let now = start + Duration::from_millis(100);
        limits.record(backend, RUN, &statement(start, NamedLimit::PerSecond(1.0), 20, 30), now);
        if backend == 16_384 {
            expect_that!(limits.limit(0, RUN), some(eq(1.0)));
        }
    }
    expect_that!(limits.count(), eq(16_384));
}

#[gtest]
fn metrics_of_a_server_that_names_no_limit_any_more_are_dropped() {
    let metrics = metrics::Metrics::new();
    let limits = |limits: &[(&str, f64)]| {
        let limit = |whole: f64| metrics::LimitUse { whole, own: whole / 3.0 };
        limits.iter().map(|(backend, whole)| ((*backend).to_owned(), limit(*whole))).collect()
    };
    metrics.record_limited_send("b-1");
    metrics.record_limited_send("b-2");
    metrics.record_limits(&limits(&[("b-1", 1.8), ("b-3", 4.0)]));
    let text = metrics.encode();
    expect_that!(text, contains_substring(r#"azuregap_backend_limit{backend="b-1"} 1.8"#));
    expect_that!(text, contains_substring(r#"azuregap_limited_sends_total{backend="b-1"} 1"#));
    expect_that!(text, contains_substring(r#"azuregap_limited_sends_allowed{backend="b-1"} 0.6"#));
    expect_that!(text, contains_substring("azuregap_limited_backends 2"));
    expect_that!(text, not(contains_substring("b-2")));
    metrics.record_limits(&limits(&[]));
    expect_that!(metrics.encode(), not(contains_substring("backend=")));
}
