//! The ledger machines, step by step.

use std::collections;
use std::time::Duration;

use azuregap_coordination::ledger;
use azuregap_coordination::store;
use googletest::prelude::*;
use tokio::time;

const SECOND: Duration = Duration::from_secs(1);

fn record(id: u128, window: u64) -> ledger::Record {
    ledger::Record {
        id,
        agent: "a".to_owned(),
        incarnation: 1,
        counter: ledger::RecordSource::Agent,
        window,
        team: "swan".to_owned(),
        route: "summary".to_owned(),
        usage: ledger::Usage { requests: 1, prompt: 10, output: 5 },
    }
}

/// A batcher with one record, and the batch that it wants to insert.
fn batcher(now: time::Instant) -> (ledger::Batcher, ledger::BatchRow) {
    let mut batcher = ledger::Batcher::new("a", 1, ledger::BatchOptions::new());
    batcher.add(record(1, 7), now).unwrap();
    match batcher.handle(ledger::BatcherEvent::Flush, now) {
        ledger::BatcherAction::Insert(batch) => (batcher, batch),
        other => panic!("expected a write, got {other:?}"),
    }
}

#[gtest]
fn records_wait_for_others_and_are_written_together() {
    let start = time::Instant::now();
    let mut batcher = ledger::Batcher::new("a", 1, ledger::BatchOptions::new().capacity(3));
    for id in 1..4 {
        expect_that!(batcher.add(record(id, 7), start), ok(anything()));
    }
    expect_that!(batcher.add(record(4, 7), start), err(anything()));
    let action = batcher.handle(ledger::BatcherEvent::Tick, start);
    expect_that!(action, eq(&ledger::BatcherAction::Wait(start + 5 * SECOND)));
    let action = batcher.handle(ledger::BatcherEvent::Tick, start + 5 * SECOND);
    expect_that!(action, pat!(ledger::BatcherAction::Insert(anything())));
    expect_that!(batcher.is_drained(7), eq(false));
    expect_that!(batcher.contains(2), eq(true));
    let applied = ledger::BatcherEvent::InsertDone(store::WriteOutcome::Applied(1));
    let action = batcher.handle(applied, start + 5 * SECOND);
    expect_that!(action, eq(&ledger::BatcherAction::Durable(vec![1, 2, 3])));
    expect_that!(batcher.is_drained(7), eq(true));
    expect_that!(batcher.contains(2), eq(false));
}

#[gtest]
fn a_lost_answer_is_resolved_by_the_same_insert() {
    let start = time::Instant::now();
    let (mut batcher, batch) = batcher(start);
    let unknown = ledger::BatcherEvent::InsertDone(store::WriteOutcome::Unknown);
    batcher.handle(unknown, start);
    let again = batcher.handle(ledger::BatcherEvent::Tick, start + SECOND);
    expect_that!(again, eq(&ledger::BatcherAction::Insert(batch.clone())));
    let conflict = ledger::BatcherEvent::InsertDone(store::WriteOutcome::Conflict);
    let look = batcher.handle(conflict, start + SECOND);
    expect_that!(look, eq(&ledger::BatcherAction::CheckExists(batch.key())));
    let durable = batcher.handle(ledger::BatcherEvent::Exists(true), start + SECOND);
    expect_that!(durable, eq(&ledger::BatcherAction::Durable(vec![1])));
}

#[gtest]
fn a_batch_that_is_late_goes_into_the_next_window() {
    let start = time::Instant::now();
    let (mut batcher, batch) = batcher(start);
    batcher.handle(ledger::BatcherEvent::InsertDone(store::WriteOutcome::Conflict), start);
    let action = batcher.handle(ledger::BatcherEvent::Exists(false), start);
    let ledger::BatcherAction::Insert(late) = action else { panic!("expected a write") };
    expect_that!((late.window, late.number), eq((8, 2)));
    expect_that!(late.records, eq(&batch.records));
}

#[gtest]
fn what_an_agent_counted_prevails_and_late_records_are_marked() {
    let mut counted = record(1, 7);
    counted.counter = ledger::RecordSource::Entry;
    counted.usage.output = 99;
    let records = [counted, record(1, 7), record(2, 8), record(2, 8), record(3, 6)];
    let billed = collections::HashSet::from([3]);
    let report = ledger::Report::new(8, &records, &billed);
    let reversed = ledger::Report::new(8, records.iter().rev(), &billed);
    expect_that!(report.to_json(), eq(&reversed.to_json()));
    insta::assert_snapshot!(report.to_json());
}

#[gtest]
fn an_entry_writes_the_copies_of_a_dead_agent() {
    let mut copies = ledger::RecordCopies::new();
    let mut counted = record(1, 7);
    counted.counter = ledger::RecordSource::Entry;
    copies.insert(record(1, 7));
    copies.insert(counted);
    copies.insert(record(2, 7));
    copies.remove_durable(&[2]);
    expect_that!(copies.request_ids("a", 1).collect::<Vec<_>>(), elements_are![eq(&1)]);
    expect_that!(copies.is_drained(6), eq(true));
    expect_that!(copies.is_drained(7), eq(false));
    expect_that!(copies.take_orphans("a", 2), is_empty());
    expect_that!(copies.take_orphans("a", 1), elements_are![eq(&record(1, 7))]);
    expect_that!(copies.is_empty(), eq(true));
}

#[gtest]
fn a_window_waits_for_the_one_before_and_for_its_writers() {
    let mut closer = ledger::WindowCloser::new(8, 7);
    let action = closer.handle(ledger::CloserEvent::Start);
    expect_that!(action, eq(&ledger::CloserAction::Read(7)));
    let row = ledger::WindowRow { window: 7, state: ledger::WindowState::Closing };
    let action = closer.handle(ledger::CloserEvent::ReadDone(store::VersionedRow::new(1, row)));
    expect_that!(action, eq(&ledger::CloserAction::PreviousNotFrozen));

    let seal = ledger::SealRow { window: 8, writer: "a".to_owned(), incarnation: 1 };
    let live = [("a", 1), ("a", 2), ("b", 1)];
    expect_that!(ledger::unsealed_writers(live, &[seal]), elements_are![eq(&"a"), eq(&"b")]);
}

/// The table service is down for five minutes and a window ends meanwhile: time from its return
/// until every record is durable, with calls of 20 ms and ten records a second. The bound is the
/// longest retry interval and a batch for each thousand records of a window.
#[gtest]
fn usage_is_late_but_whole_after_an_outage() {
    let start = time::Instant::now();
    let (back, tick) = (start + 300 * SECOND, Duration::from_millis(20));
    let mut batcher = ledger::Batcher::new("a", 1, ledger::BatchOptions::new());
    let (mut durable, mut id, mut now) = (0, 0, start);
    let mut action = ledger::BatcherAction::Idle;
    while now < back || !batcher.is_empty() {
        if now < back && (now - start).as_millis().is_multiple_of(100) {
            id += 1;
            let window = 7 + (now - start).as_secs() / 60;
            batcher.add(record(id, window), now).unwrap();
        }
        let outcome = match now < back {
            true => store::WriteOutcome::Unknown,
            false => store::WriteOutcome::Applied(1),
        };
        let event = match action {
            ledger::BatcherAction::Insert(_) => ledger::BatcherEvent::InsertDone(outcome),
            _ => ledger::BatcherEvent::Tick,
        };
        action = batcher.handle(event, now);
        if let ledger::BatcherAction::Durable(ids) = &action {
            durable += ids.len();
        }
        now += tick;
    }
    expect_that!(durable, eq(3000));
    let lateness = now - back;
    expect_that!(lateness, le(8 * SECOND + 6 * 3 * tick));
    insta::assert_snapshot!(format!("{durable} records durable {} ms late", lateness.as_millis()));
}
