//! The order of requests that wait for a place at backend servers with limits, and how long they wait.

use std::time::Duration;

use azuregap_gateway::decision::priority;
use azuregap_gateway::decision::waiting_line;
use googletest::prelude::*;
use tokio::time;

/// Hash of a backend server's id.
const BACKEND: u32 = 7;

const fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[gtest]
fn the_most_urgent_request_goes_first_then_the_nearest_deadline() {
    let start = time::Instant::now();
    let mut line = waiting_line::WaitingLine::default();
    let requests = [("late chat", 2, 9), ("chat", 2, 4), ("summary", 1, 8), ("chat again", 2, 4)];
    let mut waiting: Vec<_> = requests
        .map(|(name, rank, deadline)| {
            (name, rank, line.join(rank, start + seconds(deadline), &[], start))
        })
        .into();
    let mut order = Vec::new();
    while !waiting.is_empty() {
        let is_next = |(_, rank, ticket): &(&str, priority::Rank, waiting_line::Ticket)| {
            line.is_next(*rank, Some(ticket), BACKEND, start)
        };
        let at = waiting.iter().position(is_next).expect("one of them is next");
        let (name, rank, ticket) = waiting.remove(at);
        line.leave(&ticket);
        line.record_place(rank, start);
        order.push(name);
    }
    expect_that!(
        order,
        elements_are![eq(&"summary"), eq(&"chat"), eq(&"chat again"), eq(&"late chat")]
    );
}

#[gtest]
fn a_request_without_a_ticket_overtakes_nobody() {
    let start = time::Instant::now();
    let mut line = waiting_line::WaitingLine::default();
    expect_that!(line.is_next(2, None, BACKEND, start), is_true());
    let ticket = line.join(3, start + seconds(5), &[], start);
    expect_that!(line.is_next(1, None, BACKEND, start), is_false());
    line.leave(&ticket);
    expect_that!(line.is_next(1, None, BACKEND, start), is_true());
}

#[gtest]
fn a_request_that_tried_a_backend_server_holds_up_nobody_there() {
    let start = time::Instant::now();
    let mut line = waiting_line::WaitingLine::default();
    let tried = line.join(1, start + seconds(5), &[BACKEND], start);
    let other = line.join(2, start + seconds(5), &[], start);
    expect_that!(line.is_next(2, Some(&other), BACKEND, start), is_true());
    expect_that!(line.is_next(1, Some(&tried), BACKEND, start), is_false());
    expect_that!(line.is_next(1, Some(&tried), BACKEND + 1, start), is_true());
}

#[gtest]
fn no_place_goes_to_a_less_urgent_request_while_a_more_urgent_one_is_refused() {
    let start = time::Instant::now();
    let mut line = waiting_line::WaitingLine::default();
    line.record_place(3, start);
    line.record_refusal(1, start);
    expect_that!(line.is_next(3, None, BACKEND, start), is_false());
    expect_that!(line.is_next(1, None, BACKEND, start), is_true());
    expect_that!(line.is_next(3, None, BACKEND, start + seconds(1)), is_true());
    let ticket = line.join(3, start + seconds(9), &[], start);
    expect_that!(line.is_next(3, Some(&ticket), BACKEND, start), is_false());
}

/// Callers of a more urgent rank send more than the limit allows, for a minute.
#[gtest]
fn no_rank_starves_while_a_more_urgent_one_would_take_every_place() {
    let start = time::Instant::now();
    let mut line = waiting_line::WaitingLine::default();
    let mut served = [0; 2];
    for step in 0..600 {
        let now = start + Duration::from_millis(100) * step;
        let urgent = line.join(0, now + seconds(2), &[], now);
        let other = line.join(5, now + seconds(2), &[], now);
        // A place comes up in each fifth step.
        let has_place = step % 5 == 0;
        if has_place && line.is_next(5, Some(&other), BACKEND, now) {
            line.record_place(5, now);
            served[1] += 1;
        } else if has_place && line.is_next(0, Some(&urgent), BACKEND, now) {
            line.record_place(0, now);
            served[0] += 1;
        }
        line.record_refusal(0, now);
        line.leave(&urgent);
        line.leave(&other);
    }
    expect_that!(served[1], all!(ge(10), le(12)));
    expect_that!(served[0] + served[1], eq(120));
}

#[gtest]
fn a_request_waits_only_as_long_as_it_can_be_answered_on_time() {
    let millis = Duration::from_millis;
    for (name, wait, target_left, left, expected) in [
        ("free", 0, 250, 5_000, true),
        ("soon", 100, 250, 5_000, true),
        ("too late to be on time", 200, 250, 5_000, false),
        ("not on time any more, but in time", 2_000, 0, 5_000, true),
        ("not in time any more", 3_000, 0, 5_000, false),
        ("the deadline comes before the target", 200, 900, 300, false),
        ("free, but no time is left", 0, 0, 0, false),
    ] {
        let may = waiting_line::may_wait(millis(wait), millis(target_left), millis(left));
        expect_that!(may, eq(expected), "{name}");
    }
    let wait = waiting_line::expected_wait(millis(500), 2.0, 3);
    expect_that!(wait, some(eq(millis(2_000))));
    expect_that!(waiting_line::expected_wait(millis(500), 1e-300, 3), none());
}
