//! Seeded schedules over two agents, two entries and two processes that both close windows.
//!
//! Answers of the table service are lost before and after the effect, writes land late, notices that
//! records are durable are lost, windows are closed while writers still have records, and processes
//! die between any two steps. The invariants: all reports of a window are the same text; each request is billed
//! at most once and with the figures that were counted; with one death nothing is lost; with more,
//! only what was in the memory of dead processes alone.

mod table;

use std::collections;
use std::time::Duration;

use azuregap_coordination::ledger;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use table::Table;
use tokio::time;

const FIRST: u64 = 1;
const LAST: u64 = 6;

/// No planted bug.
const NONE: u8 = 0;
/// Batches do not check the row of their window.
const OPEN_WINDOW: u8 = 1;
/// The report is made without looking at what earlier windows billed.
const FORGETFUL: u8 = 2;

struct Writer {
    incarnation: u64,
    batcher: ledger::Batcher,
    next: Option<ledger::BatcherAction>,
    copies: ledger::RecordCopies,
}

struct World<const BUG: u8> {
    rng: rand_chacha::ChaCha8Rng,
    now: time::Instant,
    faulty: bool,
    table: Table,
    /// Two agents, then two entries.
    writers: Vec<Writer>,
    window: u64,
    counted: collections::BTreeMap<u128, ledger::Record>,
    lost: collections::BTreeSet<u128>,
    closers: Vec<(u64, ledger::WindowCloser, ledger::CloserAction)>,
    sent: collections::BTreeMap<u64, String>,
}

fn name(index: usize) -> String {
    format!("w{index}")
}

fn writer(index: usize, incarnation: u64) -> Writer {
    let rules = ledger::BatchOptions::new().batch_size(3);
    let batcher = ledger::Batcher::new(name(index), incarnation, rules);
    Writer { incarnation, batcher, next: None, copies: ledger::RecordCopies::new() }
}

impl<const BUG: u8> World<BUG> {
    fn new(seed: u64) -> Self {
        let closer = |_| {
            let mut closer = ledger::WindowCloser::new(FIRST, FIRST);
            let action = closer.handle(ledger::CloserEvent::Start);
            (FIRST, closer, action)
        };
        Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(seed),
            now: time::Instant::now(),
            faulty: true,
            table: Table::default(),
            writers: (0..4).map(|index| writer(index, 1)).collect(),
            window: FIRST,
            counted: collections::BTreeMap::new(),
            lost: collections::BTreeSet::new(),
            closers: (0..2).map(closer).collect(),
            sent: collections::BTreeMap::new(),
        }
    }

    /// One request ends at an agent; its entry has a copy of the record.
    fn request(&mut self) {
        let (agent, entry) = (self.rng.random_range(0..2), self.rng.random_range(2..4));
        let id = self.counted.len() as u128;
        let record = ledger::Record {
            id,
            agent: name(agent),
            incarnation: self.writers[agent].incarnation,
            counter: ledger::RecordSource::Agent,
            window: self.window,
            team: id.to_string(),
            route: "chat".to_owned(),
            usage: ledger::Usage { requests: 1, prompt: 1, output: self.rng.random_range(0..99) },
        };
        self.counted.insert(id, record.clone());
        self.writers[entry].copies.insert(record.clone());
        self.writers[agent].batcher.add(record, self.now).unwrap();
    }

    /// A writer does its next step.
    fn write(&mut self, index: usize) {
        let event = match self.writers[index].next.take() {
            None | Some(ledger::BatcherAction::Wait(_) | ledger::BatcherAction::Idle) => {
                ledger::BatcherEvent::Flush
            }
            Some(ledger::BatcherAction::Durable(ids)) => {
                for entry in 2..4 {
                    if !self.faulty || self.rng.random_bool(0.7) {
                        self.writers[entry].copies.remove_durable(&ids);
                    }
                }
                ledger::BatcherEvent::Tick
            }
            Some(ledger::BatcherAction::CheckExists(key)) => {
                ledger::BatcherEvent::Exists(self.table.version(&key) > 0)
            }
            Some(ledger::BatcherAction::Insert(batch)) => {
                let key = batch.key();
                let window = ledger::WindowRow::key(batch.window);
                let conditions = [(key.as_str(), 0), (window.as_str(), 0)];
                let count = if BUG == OPEN_WINDOW { 1 } else { 2 };
                let conditions = &conditions[..count];
                let (rng, faulty) = (&mut self.rng, self.faulty);
                ledger::BatcherEvent::InsertDone(
                    self.table.write(conditions, &key, &batch, rng, faulty),
                )
            }
        };
        self.now += Duration::from_secs(1);
        let action = self.writers[index].batcher.handle(event, self.now);
        self.writers[index].next = Some(action);
    }

    /// A process dies and starts anew; entries write the copies of a dead agent.
    fn kill(&mut self, index: usize) {
        self.writers[index] = writer(index, self.writers[index].incarnation + 1);
        let incarnation = self.writers[index].incarnation - 1;
        for entry in 2..4 {
            for record in self.writers[entry].copies.take_orphans(&name(index), incarnation) {
                self.writers[entry].batcher.add(record, self.now).unwrap();
            }
        }
        self.note_lost();
    }

    /// Notes which records are neither durable nor in the memory of any process.
    fn note_lost(&mut self) {
        let mut kept = collections::BTreeSet::new();
        for window in FIRST..=LAST + 20 {
            let prefix = ledger::BatchRow::prefix(window);
            let rows = self.table.scan::<ledger::BatchRow>(&prefix);
            kept.extend(rows.iter().flat_map(|row| &row.records).map(|record| record.id));
        }
        for writer in &self.writers {
            let memory = format!("{:?} {:?}", writer.batcher, writer.copies);
            let ids = self.counted.keys().filter(|id| memory.contains(&format!(" id: {id},")));
            kept.extend(ids.copied());
        }
        self.lost.extend(self.counted.keys().filter(|id| !kept.contains(*id)));
    }

    /// A closer does its next step.
    fn close(&mut self, index: usize) -> std::result::Result<(), String> {
        let (window, action) = (self.closers[index].0, self.closers[index].2.clone());
        let failed = self.faulty && self.rng.random_bool(0.1);
        let event = match action {
            _ if failed => ledger::CloserEvent::Failed,
            ledger::CloserAction::Pause | ledger::CloserAction::PreviousNotFrozen => {
                ledger::CloserEvent::Start
            }
            ledger::CloserAction::Read(window) => {
                ledger::CloserEvent::ReadDone(self.table.read(&ledger::WindowRow::key(window)))
            }
            ledger::CloserAction::Write { version, row } => {
                let key = ledger::WindowRow::key(window);
                let conditions = [(key.as_str(), version)];
                let (rng, faulty) = (&mut self.rng, self.faulty);
                ledger::CloserEvent::WriteDone(self.table.write(
                    &conditions,
                    &key,
                    &row,
                    rng,
                    faulty,
                ))
            }
            ledger::CloserAction::Scan(window) => {
                let rows = self.table.scan(&ledger::BatchRow::prefix(window));
                ledger::CloserEvent::ScanDone { rows, last: true }
            }
            ledger::CloserAction::Send(text) => {
                self.deliver(window, text)?;
                ledger::CloserEvent::Acknowledged
            }
            ledger::CloserAction::Done => {
                let next = window + 1;
                if next >= self.window {
                    return Ok(());
                }
                self.closers[index] =
                    (next, ledger::WindowCloser::new(next, FIRST), ledger::CloserAction::Pause);
                return Ok(());
            }
        };
        self.closers[index].2 = self.closers[index].1.handle(event);
        Ok(())
    }

    /// The intake gets a report.
    fn deliver(&mut self, window: u64, text: String) -> std::result::Result<(), String> {
        let text = match BUG {
            FORGETFUL => {
                let rows = self.table.scan::<ledger::BatchRow>(&ledger::BatchRow::prefix(window));
                let records: Vec<_> = rows.into_iter().flat_map(|row| row.records).collect();
                ledger::Report::new(window, &records, &collections::HashSet::new()).to_json()
            }
            _ => text,
        };
        match self.sent.insert(window, text.clone()) {
            Some(before) if before != text => Err(format!("two reports of window {window}")),
            _ => Ok(()),
        }
    }

    fn run(&mut self, deaths: usize) -> std::result::Result<(), String> {
        let mut left = deaths;
        for step in 0..400 {
            match self.rng.random_range(0..100) {
                0..15 => self.request(),
                15..70 => {
                    let index = self.rng.random_range(0..4);
                    self.write(index);
                }
                70..72 if left > 0 => {
                    left -= 1;
                    let index = self.rng.random_range(0..4);
                    self.kill(index);
                }
                72..74 => self.table.land(),
                _ if self.window > FIRST => {
                    let index = self.rng.random_range(0..2);
                    self.close(index)?;
                }
                _ => {}
            }
            if step % 60 == 59 {
                self.window += 1;
            }
        }
        self.settle()
    }

    /// Faults end, and everything that is known is written and reported.
    fn settle(&mut self) -> std::result::Result<(), String> {
        self.faulty = false;
        self.window += 10;
        for _ in 0..200 {
            (0..4).for_each(|index| self.write(index));
        }
        for _ in 0..400 {
            (0..2).try_for_each(|index| self.close(index))?;
        }
        self.check()
    }

    fn check(&mut self) -> std::result::Result<(), String> {
        let mut billed = collections::BTreeMap::new();
        for text in self.sent.values() {
            let report: ledger::Report = serde_json::from_str(text).unwrap();
            for line in report.lines {
                let id: u128 = line.team.parse().unwrap();
                if billed.insert(id, line.usage).is_some() {
                    return Err(format!("request {id} was billed twice"));
                }
            }
        }
        for (id, record) in &self.counted {
            match billed.get(id) {
                Some(usage) if *usage != record.usage => {
                    return Err(format!("{id}: wrong figures"));
                }
                None if !self.lost.contains(id) => return Err(format!("{id} was not billed")),
                _ => {}
            }
        }
        Ok(())
    }
}

/// Requests counted and lost, over `seeds` schedules; the first broken invariant.
fn explore<const BUG: u8>(
    seeds: u64,
    deaths: usize,
) -> std::result::Result<(usize, usize, usize), String> {
    let (mut counted, mut late, mut lost) = (0, 0, 0);
    for seed in 0..seeds {
        let mut world = World::<BUG>::new(seed);
        world.run(deaths).map_err(|fault| format!("seed {seed}: {fault}"))?;
        counted += world.counted.len();
        late += world.sent.values().map(|text| text.matches("late_from").count()).sum::<usize>();
        lost += world.lost.len();
    }
    Ok((counted, late, lost))
}

#[gtest]
fn one_death_loses_nothing_and_bills_nothing_twice() {
    let outcome = explore::<NONE>(1000, 1);
    insta::assert_debug_snapshot!(outcome);
    expect_that!(outcome, ok((gt(&1000), gt(&1000), eq(&0))));
}

#[gtest]
fn several_deaths_lose_only_what_was_in_their_memory_alone() {
    let outcome = explore::<NONE>(500, 4);
    insta::assert_debug_snapshot!(outcome);
    expect_that!(outcome, ok((gt(&1000), gt(&1000), gt(&0))));
}

#[gtest]
fn a_batch_that_slips_into_a_closed_window_is_found() {
    expect_that!(explore::<OPEN_WINDOW>(1000, 1), err(contains_substring("was not billed")));
}

#[gtest]
fn a_report_that_forgets_earlier_windows_is_found() {
    expect_that!(explore::<FORGETFUL>(1000, 1), err(contains_substring("billed twice")));
}
