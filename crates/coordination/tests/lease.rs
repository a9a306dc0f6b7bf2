//! The lease machine, step by step on paused time.

use std::time::Duration;

use azuregap_coordination::lease;
use azuregap_coordination::store;
use googletest::prelude::*;
use tokio::time;

const MS: Duration = Duration::from_millis(1);

fn terms() -> lease::Timing {
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

/// A lease that was taken at `start` plus the time of watching, with its row.
fn taken(start: time::Instant) -> (lease::Lease, store::VersionedRow<lease::LeaseRow>) {
    let mut lease = lease::Lease::new("a", 1, terms());
    lease.handle(lease::Event::Tick, start);
    lease.handle(lease::Event::ReadDone(store::VersionedRow::absent()), start);
    let (_, row) = write(&mut lease, lease::Event::Tick, start + 1100 * MS);
    lease.handle(lease::Event::WriteDone(store::WriteOutcome::Applied(1)), start + 1150 * MS);
    (lease, store::VersionedRow::new(1, row))
}

#[gtest]
fn terms_leave_time_for_renewals() {
    expect_that!(lease::Timing::default().is_valid(), eq(true));
    expect_that!(terms().margin(Duration::ZERO).is_valid(), eq(false));
    expect_that!(terms().interval(500 * MS).is_valid(), eq(false));
}

#[gtest]
fn candidate_waits_for_term_margin_and_send_deadline() {
    let start = time::Instant::now();
    let (lease, row) = taken(start);
    expect_that!(row.value.unwrap().fence, eq(1));
    // Taken at 1100 ms, acts from 1300 ms (send deadline of a predecessor) to 2000 ms.
    expect_that!(lease.fencing_token(start + 1299 * MS), none());
    expect_that!(lease.fencing_token(start + 1300 * MS), some(eq(1)));
    expect_that!(lease.fencing_token(start + 1999 * MS), some(eq(1)));
    expect_that!(lease.fencing_token(start + 2000 * MS), none());
}

#[gtest]
fn a_changed_row_starts_the_watch_again() {
    let start = time::Instant::now();
    let mut lease = lease::Lease::new("b", 2, terms());
    let (_, row) = taken(start);
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
fn a_renewal_counts_from_before_it_was_sent() {
    let start = time::Instant::now();
    let (mut lease, _) = taken(start);
    let (version, _) = write(&mut lease, lease::Event::Tick, start + 1350 * MS);
    expect_that!(version, eq(1));
    lease.handle(lease::Event::WriteDone(store::WriteOutcome::Applied(2)), start + 1900 * MS);
    expect_that!(lease.valid_until(), some(eq(start + 2250 * MS)));
}

#[gtest]
fn a_lost_answer_is_resolved_by_reading_the_row() {
    let start = time::Instant::now();
    let (mut lease, _) = taken(start);
    let (_, row) = write(&mut lease, lease::Event::Tick, start + 1350 * MS);
    let action =
        lease.handle(lease::Event::WriteDone(store::WriteOutcome::Unknown), start + 1600 * MS);
    expect_that!(action, eq(&lease::Action::Read));
    expect_that!(lease.valid_until(), some(eq(start + 2000 * MS)));
    lease.handle(lease::Event::ReadDone(store::VersionedRow::new(2, row)), start + 1700 * MS);
    expect_that!(lease.valid_until(), some(eq(start + 2250 * MS)));
}

#[gtest]
fn a_late_effect_of_an_earlier_attempt_counts_from_that_attempt() {
    let start = time::Instant::now();
    let (mut lease, row) = taken(start);
    let (_, first) = write(&mut lease, lease::Event::Tick, start + 1350 * MS);
    lease.handle(lease::Event::WriteDone(store::WriteOutcome::Unknown), start + 1500 * MS);
    lease.handle(lease::Event::ReadDone(row), start + 1500 * MS);
    let (version, _) = write(&mut lease, lease::Event::Tick, start + 1600 * MS);
    expect_that!(version, eq(1));
    // The first attempt is applied now, so the second conflicts.
    lease.handle(lease::Event::WriteDone(store::WriteOutcome::Conflict), start + 1650 * MS);
    lease.handle(lease::Event::ReadDone(store::VersionedRow::new(2, first)), start + 1700 * MS);
    expect_that!(lease.valid_until(), some(eq(start + 2250 * MS)));
}

#[gtest]
fn a_thawed_holder_acts_no_more_and_becomes_a_candidate() {
    let start = time::Instant::now();
    let (mut lease, _) = taken(start);
    let thawed = start + 5000 * MS;
    expect_that!(lease.fencing_token(thawed), none());
    write(&mut lease, lease::Event::Tick, thawed);
    lease.handle(lease::Event::WriteDone(store::WriteOutcome::Conflict), thawed);
    let row = lease::LeaseRow { holder: "b".into(), incarnation: 9, fence: 2, renewals: 4 };
    lease.handle(lease::Event::ReadDone(store::VersionedRow::new(9, row)), thawed);
    expect_that!(lease.holder(), some(eq("b")));
    expect_that!(lease.fencing_token(thawed), none());
}

#[gtest]
fn refused_calls_are_paced() {
    let start = time::Instant::now();
    let mut lease = lease::Lease::new("a", 1, terms());
    lease.handle(lease::Event::Tick, start);
    lease.handle(lease::Event::ReadDone(store::VersionedRow::absent()), start);
    let at = start + 1100 * MS;
    write(&mut lease, lease::Event::Tick, at);
    let action = lease.handle(lease::Event::WriteDone(store::WriteOutcome::Refused), at);
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

    let mut next = lease::Lease::new("b", 2, terms());
    next.handle(lease::Event::Tick, at + 300 * MS);
    let (version, row) = write(&mut next, lease::Event::ReadDone(stored), at + 300 * MS);
    expect_that!((version, row.fence), eq((3, 2)));
    next.handle(lease::Event::WriteDone(store::WriteOutcome::Applied(4)), at + 310 * MS);
    expect_that!(next.fencing_token(at + 310 * MS), some(eq(2)));
}

/// A table service in virtual time, five milliseconds away in either direction.
struct Table {
    row: store::VersionedRow<lease::LeaseRow>,
}

impl Table {
    /// Carries out one action of `lease`; when it wants to be woken.
    fn serve(&mut self, lease: &mut lease::Lease, now: &mut time::Instant) -> time::Instant {
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

/// Time from the crash of a holder, `offset` after its first renewal, until the other may act.
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
            holder_next = table.serve(&mut holder, &mut now);
        } else {
            let mut now = other_next;
            other_next = table.serve(&mut other, &mut now);
        }
    }
    if resign {
        holder.handle(lease::Event::Resign, crash);
    }
    holder_next = crash + lease::Timing::default().send_deadline;
    loop {
        if resign && holder_next <= other_next {
            let mut now = holder_next;
            table.serve(&mut holder, &mut now);
            resign = false;
        }
        let mut now = other_next;
        other_next = table.serve(&mut other, &mut now);
        let Some(until) = other.valid_until() else { continue };
        while other.fencing_token(now).is_none() {
            now += 1 * MS;
            assert!(now < until, "the successor never may act");
        }
        return now - crash;
    }
}

/// The bound is a term, a margin, a send deadline and two looks, plus four calls of 10 ms.
#[gtest]
fn takeover_time_is_bounded() {
    let terms = lease::Timing::default();
    let mut crashed: Vec<_> = (0..100).map(|i| takeover(i * 31 * MS, false)).collect();
    let mut resigned: Vec<_> = (0..100).map(|i| takeover(i * 31 * MS, true)).collect();
    crashed.sort();
    resigned.sort();
    let bound = terms.term + terms.margin + terms.send_deadline + terms.interval * 2 + 40 * MS;
    expect_that!(crashed.last(), some(le(&bound)));
    expect_that!(resigned.last(), some(le(&(terms.send_deadline + terms.interval + 40 * MS))));
    let figures = |times: &[Duration]| [times[0], times[50], times[99]];
    insta::assert_debug_snapshot!([figures(&crashed), figures(&resigned)]);
}
