//! Transitions of the lease state machine in virtual time.

use std::time::Duration;

use azuregap_coordination::lease;
use azuregap_coordination::store;
use googletest::prelude::*;
use tokio::time;

const MS: Duration = Duration::from_millis(1);

fn timing() -> lease::Timing {
    lease::Timing::new(1000 * MS).margin(100 * MS).send_deadline(200 * MS).interval(250 * MS)
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

/// A lease that was acquired one takeover delay after `start`, and its row.
fn acquired(start: time::Instant) -> (lease::Lease, store::VersionedRow<lease::LeaseRow>) {
    let mut lease = lease::Lease::new("a", 1, timing());
    lease.handle(lease::Event::Tick, start);
    lease.handle(lease::Event::ReadDone(store::VersionedRow::absent()), start);
    let (_, row) = write(&mut lease, lease::Event::Tick, start + 1100 * MS);
    lease.handle(lease::Event::WriteDone(store::WriteOutcome::Applied(1)), start + 1150 * MS);
    (lease, store::VersionedRow::new(1, row))
}

#[gtest]
fn timing_must_leave_time_for_two_renewals() {
    expect_that!(lease::Timing::default().is_valid(), eq(true));
    expect_that!(timing().margin(Duration::ZERO).is_valid(), eq(false));
    expect_that!(timing().interval(500 * MS).is_valid(), eq(false));
}

#[gtest]
fn candidate_waits_for_term_margin_and_send_deadline() {
    let start = time::Instant::now();
    let (lease, row) = acquired(start);
    expect_that!(row.value.unwrap().fence, eq(1));
    // Acquired at 1100 ms; valid from 1300 ms (send deadline of the previous holder) to 2000 ms.
    expect_that!(lease.fencing_token(start + 1299 * MS), none());
    expect_that!(lease.fencing_token(start + 1300 * MS), some(eq(1)));
    expect_that!(lease.fencing_token(start + 1999 * MS), some(eq(1)));
    expect_that!(lease.fencing_token(start + 2000 * MS), none());
}

#[gtest]
fn changed_row_restarts_the_takeover_delay() {
    let start = time::Instant::now();
    let mut lease = lease::Lease::new("b", 2, timing());
    let (_, row) = acquired(start);
    lease.handle(lease::Event::Tick, start);
    lease.handle(lease::Event::ReadDone(row.clone()), start);
    lease.handle(lease::Event::Tick, start + 1000 * MS);
    let renewed = store::VersionedRow::new(2, row.value.unwrap());
    let action = lease.handle(lease::Event::ReadDone(renewed), start + 1000 * MS);
    expect_that!(action, eq(&lease::Action::Wait(start + 1250 * MS)));
    expect_that!(lease.handle(lease::Event::Tick, start + 2099 * MS), eq(&lease::Action::Read));
    lease.handle(lease::Event::ReadFailed, start + 2099 * MS);
    let (version, row) = write(&mut lease, lease::Event::Tick, start + 2200 * MS);
    expect_that!((version, row.fence), eq((2, 2)));
}

#[gtest]
fn renewal_is_valid_from_the_time_it_was_sent() {
    let start = time::Instant::now();
    let (mut lease, _) = acquired(start);
    let (version, _) = write(&mut lease, lease::Event::Tick, start + 1350 * MS);
    expect_that!(version, eq(1));
    lease.handle(lease::Event::WriteDone(store::WriteOutcome::Applied(2)), start + 1900 * MS);
    expect_that!(lease.valid_until(), some(eq(start + 2250 * MS)));
}

#[gtest]
fn lost_response_is_resolved_by_reading_the_row() {
    let start = time::Instant::now();
    let (mut lease, _) = acquired(start);
    let (_, row) = write(&mut lease, lease::Event::Tick, start + 1350 * MS);
    let action =
        lease.handle(lease::Event::WriteDone(store::WriteOutcome::Unknown), start + 1600 * MS);
    expect_that!(action, eq(&lease::Action::Read));
    expect_that!(lease.valid_until(), some(eq(start + 2000 * MS)));
    lease.handle(lease::Event::ReadDone(store::VersionedRow::new(2, row)), start + 1700 * MS);
    expect_that!(lease.valid_until(), some(eq(start + 2250 * MS)));
}

#[gtest]
fn late_write_is_valid_from_the_time_its_attempt_was_sent() {
    let start = time::Instant::now();
    let (mut lease, row) = acquired(start);
    let (_, first) = write(&mut lease, lease::Event::Tick, start + 1350 * MS);
    lease.handle(lease::Event::WriteDone(store::WriteOutcome::Unknown), start + 1500 * MS);
    lease.handle(lease::Event::ReadDone(row), start + 1500 * MS);
    let (version, _) = write(&mut lease, lease::Event::Tick, start + 1600 * MS);
    expect_that!(version, eq(1));
    // The first attempt is applied late, so the second one conflicts.
    lease.handle(lease::Event::WriteDone(store::WriteOutcome::Conflict), start + 1650 * MS);
    lease.handle(lease::Event::ReadDone(store::VersionedRow::new(2, first)), start + 1700 * MS);
    expect_that!(lease.valid_until(), some(eq(start + 2250 * MS)));
}

#[gtest]
fn paused_holder_stops_acting_and_becomes_a_candidate() {
    let start = time::Instant::now();
    let (mut lease, _) = acquired(start);
    let resumed = start + 5000 * MS;
    expect_that!(lease.fencing_token(resumed), none());
    write(&mut lease, lease::Event::Tick, resumed);
    lease.handle(lease::Event::WriteDone(store::WriteOutcome::Conflict), resumed);
    let row = lease::LeaseRow { holder: "b".into(), incarnation: 9, fence: 2, renewals: 4, era: 0 };
    lease.handle(lease::Event::ReadDone(store::VersionedRow::new(9, row)), resumed);
    expect_that!(lease.holder(), some(eq("b")));
    expect_that!(lease.fencing_token(resumed), none());
}

#[gtest]
fn rejected_calls_are_retried_after_a_delay() {
    let start = time::Instant::now();
    let mut lease = lease::Lease::new("a", 1, timing());
    lease.handle(lease::Event::Tick, start);
    lease.handle(lease::Event::ReadDone(store::VersionedRow::absent()), start);
    let at = start + 1100 * MS;
    write(&mut lease, lease::Event::Tick, at);
    let action = lease.handle(lease::Event::WriteDone(store::WriteOutcome::Refused), at);
    expect_that!(action, eq(&lease::Action::Wait(at + Duration::from_micros(62_500))));
    write(&mut lease, lease::Event::Tick, at + 63 * MS);
}

#[gtest]
fn released_lease_is_acquired_immediately() {
    let start = time::Instant::now();
    let (mut lease, _) = acquired(start);
    let at = start + 1400 * MS;
    // The holder stops acting, waits for its last send and then releases the lease.
    write(&mut lease, lease::Event::Tick, at);
    lease.handle(lease::Event::Resign, at);
    expect_that!(lease.fencing_token(at), none());
    let action = lease.handle(lease::Event::WriteDone(store::WriteOutcome::Applied(2)), at);
    expect_that!(action, eq(&lease::Action::Wait(at + 200 * MS)));
    let (_, row) = write(&mut lease, lease::Event::Tick, at + 200 * MS);
    expect_that!(row.is_released(), eq(true));
    let action = lease.handle(lease::Event::WriteDone(store::WriteOutcome::Unknown), at + 200 * MS);
    expect_that!(action, eq(&lease::Action::Read));
    let stored = store::VersionedRow::new(3, row);
    let action = lease.handle(lease::Event::ReadDone(stored.clone()), at + 200 * MS);
    expect_that!(action, eq(&lease::Action::Resigned));

    let mut next = lease::Lease::new("b", 2, timing());
    next.handle(lease::Event::Tick, at + 300 * MS);
    let (version, row) = write(&mut next, lease::Event::ReadDone(stored), at + 300 * MS);
    expect_that!((version, row.fence), eq((3, 2)));
    next.handle(lease::Event::WriteDone(store::WriteOutcome::Applied(4)), at + 310 * MS);
    expect_that!(next.fencing_token(at + 310 * MS), some(eq(2)));
}

#[gtest]
fn restarted_holder_takes_its_lease_over_once_its_last_sends_have_arrived() {
    let start = time::Instant::now();
    let (_, row) = acquired(start);
    let mut restarted = lease::Lease::new("a", 7, timing()).succeeds_itself();
    expect_that!(restarted.handle(lease::Event::Tick, start), eq(&lease::Action::Read));
    let (version, new) = write(&mut restarted, lease::Event::ReadDone(row.clone()), start);
    expect_that!((version, new.fence, new.incarnation), eq((1, 2, 7)));
    restarted.handle(lease::Event::WriteDone(store::WriteOutcome::Applied(2)), start + 10 * MS);
    expect_that!(restarted.fencing_token(start + 199 * MS), none());
    expect_that!(restarted.fencing_token(start + 200 * MS), some(eq(2)));
    // The row of another node, and one of its own without that statement, must expire first.
    for mut other in
        [lease::Lease::new("b", 7, timing()).succeeds_itself(), lease::Lease::new("a", 7, timing())]
    {
        other.handle(lease::Event::Tick, start);
        let action = other.handle(lease::Event::ReadDone(row.clone()), start);
        expect_that!(action, matches_pattern!(lease::Action::Wait(anything())));
    }
}

/// A table service in virtual time, with a latency of five milliseconds each way.
struct Table {
    row: store::VersionedRow<lease::LeaseRow>,
}

impl Table {
    /// Runs `lease` until it waits. Returns when it has to be woken.
    fn run(&mut self, lease: &mut lease::Lease, now: &mut time::Instant) -> time::Instant {
        let mut event = lease::Event::Tick;
        loop {
            let action = lease.handle(event, *now);
            *now += 10 * MS;
            event = match action {
                lease::Action::Read => lease::Event::ReadDone(self.row.clone()),
                lease::Action::Write { version, row } if version == self.row.version => {
                    self.row = store::VersionedRow::new(version + 1, row);
                    lease::Event::WriteDone(store::WriteOutcome::Applied(version + 1))
                }
                lease::Action::Write { .. } => {
                    lease::Event::WriteDone(store::WriteOutcome::Conflict)
                }
                lease::Action::Wait(until) => return until,
                lease::Action::Pending | lease::Action::Resigned => return *now,
            };
        }
    }
}

/// Time from the crash or resignation of the holder, 6 s plus `offset` after the start, until the
/// other candidate may act.
fn takeover(offset: Duration, mut resign: bool) -> Duration {
    let start = time::Instant::now();
    let mut table = Table { row: store::VersionedRow::absent() };
    let mut holder = lease::Lease::new("a", 1, lease::Timing::default());
    let mut other = lease::Lease::new("b", 2, lease::Timing::default());
    let (mut holder_next, mut other_next) = (start, start + 1 * MS);
    let crash = start + Duration::from_secs(6) + offset;
    while holder_next.min(other_next) < crash {
        if holder_next <= other_next {
            let mut now = holder_next;
            holder_next = table.run(&mut holder, &mut now);
        } else {
            let mut now = other_next;
            other_next = table.run(&mut other, &mut now);
        }
    }
    if resign {
        holder.handle(lease::Event::Resign, crash);
    }
    holder_next = crash + lease::Timing::default().send_deadline;
    loop {
        if resign && holder_next <= other_next {
            let mut now = holder_next;
            table.run(&mut holder, &mut now);
            resign = false;
        }
        let mut now = other_next;
        other_next = table.run(&mut other, &mut now);
        let Some(until) = other.valid_until() else { continue };
        while other.fencing_token(now).is_none() {
            now += 1 * MS;
            assert!(now < until, "the successor was never allowed to act");
        }
        return now - crash;
    }
}

/// The bound is a term, a margin, a send deadline and two intervals, plus four calls of 10 ms.
#[gtest]
fn takeover_time_is_bounded() {
    let timing = lease::Timing::default();
    let mut crashed: Vec<_> = (0..100).map(|i| takeover(i * 31 * MS, false)).collect();
    let mut resigned: Vec<_> = (0..100).map(|i| takeover(i * 31 * MS, true)).collect();
    crashed.sort();
    resigned.sort();
    let bound = timing.term + timing.margin + timing.send_deadline + timing.interval * 2 + 40 * MS;
    expect_that!(crashed.last(), some(le(&bound)));
    expect_that!(resigned.last(), some(le(&(timing.send_deadline + timing.interval + 40 * MS))));
    let quantiles = |times: &[Duration]| [times[0], times[50], times[99]];
    insta::assert_debug_snapshot!([quantiles(&crashed), quantiles(&resigned)]);
}
