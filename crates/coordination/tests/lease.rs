//! The lease machine, step by step on paused time.

use std::time::Duration;

use azuregap_coordination::lease;
use azuregap_coordination::store;
use googletest::prelude::*;
use tokio::time;

const MS: Duration = Duration::from_millis(1);

fn terms() -> lease::Terms {
    lease::Terms::new(1000 * MS).margin(100 * MS).send_deadline(200 * MS).interval(250 * MS)
}

/// Feeds `event` and expects a write.
fn write(
    lease: &mut lease::Lease,
    event: lease::Event,
    now: time::Instant,
) -> (u64, lease::LeaseRow) {
    match lease.handle(event, now) {
        lease::Action::Write { version, row } => (version, row),
        other => panic!("expected a write, got {other:?}"),
    }
}

/// A lease that was taken at `start` plus the time of watching, with its row.
fn taken(start: time::Instant) -> (lease::Lease, store::Stored<lease::LeaseRow>) {
    let mut lease = lease::Lease::new("a", 1, terms());
    lease.handle(lease::Event::Tick, start);
    lease.handle(lease::Event::Read(store::Stored::absent()), start);
    let (_, row) = write(&mut lease, lease::Event::Tick, start + 1100 * MS);
    lease.handle(lease::Event::Wrote(store::Outcome::Applied(1)), start + 1150 * MS);
    (lease, store::Stored::new(1, row))
}

#[gtest]
fn candidate_waits_for_term_margin_and_send_deadline() {
    let start = time::Instant::now();
    let (lease, row) = taken(start);
    expect_that!(row.value.unwrap().fence, eq(1));
    // Taken at 1100 ms, acts from 1300 ms (send deadline of a predecessor) to 2000 ms.
    expect_that!(lease.may_act(start + 1299 * MS), none());
    expect_that!(lease.may_act(start + 1300 * MS), some(eq(1)));
    expect_that!(lease.may_act(start + 1999 * MS), some(eq(1)));
    expect_that!(lease.may_act(start + 2000 * MS), none());
}

#[gtest]
fn a_changed_row_starts_the_watch_again() {
    let start = time::Instant::now();
    let mut lease = lease::Lease::new("b", 2, terms());
    let (_, row) = taken(start);
    lease.handle(lease::Event::Tick, start);
    lease.handle(lease::Event::Read(row.clone()), start);
    lease.handle(lease::Event::Tick, start + 1000 * MS);
    let renewed = store::Stored::new(2, row.value.unwrap());
    let action = lease.handle(lease::Event::Read(renewed), start + 1000 * MS);
    expect_that!(action, eq(&lease::Action::Wait(start + 1250 * MS)));
    expect_that!(lease.handle(lease::Event::Tick, start + 2099 * MS), eq(&lease::Action::Read));
    lease.handle(lease::Event::ReadFailed, start + 2099 * MS);
    let (version, row) = write(&mut lease, lease::Event::Tick, start + 2200 * MS);
    expect_that!((version, row.fence), eq((2, 2)));
}

#[gtest]
fn a_renewal_counts_from_before_it_was_sent() {
    let start = time::Instant::now();
    let (mut lease, _) = taken(start);
    let (version, _) = write(&mut lease, lease::Event::Tick, start + 1350 * MS);
    expect_that!(version, eq(1));
    lease.handle(lease::Event::Wrote(store::Outcome::Applied(2)), start + 1900 * MS);
    expect_that!(lease.acts_until(), some(eq(start + 2250 * MS)));
}

#[gtest]
fn a_lost_answer_is_resolved_by_reading_the_row() {
    let start = time::Instant::now();
    let (mut lease, _) = taken(start);
    let (_, row) = write(&mut lease, lease::Event::Tick, start + 1350 * MS);
    let action = lease.handle(lease::Event::Wrote(store::Outcome::Unknown), start + 1600 * MS);
    expect_that!(action, eq(&lease::Action::Read));
    expect_that!(lease.acts_until(), some(eq(start + 2000 * MS)));
    lease.handle(lease::Event::Read(store::Stored::new(2, row)), start + 1700 * MS);
    expect_that!(lease.acts_until(), some(eq(start + 2250 * MS)));
}

#[gtest]
fn a_late_effect_of_an_earlier_attempt_counts_from_that_attempt() {
    let start = time::Instant::now();
    let (mut lease, row) = taken(start);
    let (_, first) = write(&mut lease, lease::Event::Tick, start + 1350 * MS);
    lease.handle(lease::Event::Wrote(store::Outcome::Unknown), start + 1500 * MS);
    lease.handle(lease::Event::Read(row), start + 1500 * MS);
    let (version, _) = write(&mut lease, lease::Event::Tick, start + 1600 * MS);
    expect_that!(version, eq(1));
    // The first attempt is applied now, so the second conflicts.
    lease.handle(lease::Event::Wrote(store::Outcome::Conflict), start + 1650 * MS);
    lease.handle(lease::Event::Read(store::Stored::new(2, first)), start + 1700 * MS);
    expect_that!(lease.acts_until(), some(eq(start + 2250 * MS)));
}

#[gtest]
fn a_thawed_holder_acts_no_more_and_becomes_a_candidate() {
    let start = time::Instant::now();
    let (mut lease, _) = taken(start);
    let thawed = start + 5000 * MS;
    expect_that!(lease.may_act(thawed), none());
    write(&mut lease, lease::Event::Tick, thawed);
    lease.handle(lease::Event::Wrote(store::Outcome::Conflict), thawed);
    let row = lease::LeaseRow { holder: "b".into(), incarnation: 9, fence: 2, renewals: 4 };
    lease.handle(lease::Event::Read(store::Stored::new(9, row)), thawed);
    expect_that!(lease.holder(), some(eq("b")));
    expect_that!(lease.may_act(thawed), none());
}

#[gtest]
fn refused_calls_are_paced() {
    let start = time::Instant::now();
    let mut lease = lease::Lease::new("a", 1, terms());
    lease.handle(lease::Event::Tick, start);
    lease.handle(lease::Event::Read(store::Stored::absent()), start);
    let at = start + 1100 * MS;
    write(&mut lease, lease::Event::Tick, at);
    let action = lease.handle(lease::Event::Wrote(store::Outcome::Refused), at);
    expect_that!(action, eq(&lease::Action::Wait(at + Duration::from_micros(62_500))));
    write(&mut lease, lease::Event::Tick, at + 63 * MS);
}

#[gtest]
fn a_released_row_is_taken_at_once() {
    let start = time::Instant::now();
    let (mut lease, _) = taken(start);
    let at = start + 1400 * MS;
    // The holder acts no more, waits for its last send and then releases.
    write(&mut lease, lease::Event::Tick, at);
    lease.handle(lease::Event::Resign, at);
    expect_that!(lease.may_act(at), none());
    let action = lease.handle(lease::Event::Wrote(store::Outcome::Applied(2)), at);
    expect_that!(action, eq(&lease::Action::Wait(at + 200 * MS)));
    let (_, row) = write(&mut lease, lease::Event::Tick, at + 200 * MS);
    expect_that!(row.is_released(), eq(true));
    let action = lease.handle(lease::Event::Wrote(store::Outcome::Unknown), at + 200 * MS);
    expect_that!(action, eq(&lease::Action::Read));
    let stored = store::Stored::new(3, row);
    let action = lease.handle(lease::Event::Read(stored.clone()), at + 200 * MS);
    expect_that!(action, eq(&lease::Action::Resigned));

    let mut next = lease::Lease::new("b", 2, terms());
    next.handle(lease::Event::Tick, at + 300 * MS);
    let (version, row) = write(&mut next, lease::Event::Read(stored), at + 300 * MS);
    expect_that!((version, row.fence), eq((3, 2)));
    next.handle(lease::Event::Wrote(store::Outcome::Applied(4)), at + 310 * MS);
    expect_that!(next.may_act(at + 310 * MS), some(eq(2)));
}
