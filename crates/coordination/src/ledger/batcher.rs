//! A writer's records on their way into the table service.

use std::collections;

use tokio::time;

use crate::configuration;
use crate::ids;
use crate::ledger;
use crate::store;

/// Shortest interval after a call that failed; doubled with each failure in a row.
const RETRY: std::time::Duration = std::time::Duration::from_millis(500);

/// A writer's records on their way into the table service; one call is under way at a time.
#[derive(Clone, Debug)]
pub struct Batcher {
    writer: ids::NodeId,
    incarnation: ids::Incarnation,
    rules: ledger::BatchOptions,
    waiting: collections::BTreeMap<ids::WindowId, Vec<ledger::Record>>,
    flight: Option<ledger::BatchRow>,
    call: Call,
    number: u64,
    pace: configuration::JitteredBackoff,
    /// When the oldest waiting record must be written.
    due: Option<time::Instant>,
    paused_until: Option<time::Instant>,
}

/// What the batch in flight needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Insert,
    Look,
    UnderWay,
}

impl Batcher {
    /// A writer without records.
    #[must_use]
    pub fn new(
        writer: impl Into<ids::NodeId>,
        incarnation: ids::Incarnation,
        rules: ledger::BatchOptions,
    ) -> Self {
        Self {
            writer: writer.into(),
            incarnation,
            rules,
            waiting: collections::BTreeMap::new(),
            flight: None,
            call: Call::Insert,
            number: 0,
            pace: configuration::JitteredBackoff::new(RETRY, incarnation),
            due: None,
            paused_until: None,
        }
    }

    /// Adds a record.
    ///
    /// # Errors
    ///
    /// The record, if too many wait. An agent must then refuse new work, because what it would
    /// use could not be billed.
    pub fn add(
        &mut self,
        record: ledger::Record,
        now: time::Instant,
    ) -> Result<(), Box<ledger::Record>> {
        if self.is_full() {
            return Err(Box::new(record));
        }
        self.due = self.due.or(Some(now + self.rules.interval));
        self.waiting.entry(record.window).or_default().push(record);
        Ok(())
    }

    /// How many records are not durable.
    #[must_use]
    pub fn len(&self) -> usize {
        let flight = self.flight.as_ref().map_or(0, |batch| batch.records.len());
        flight + self.waiting.values().map(Vec::len).sum::<usize>()
    }

    /// Whether a record of this request is not durable. A process that kept a copy and missed the
    /// notice asks for it.
    #[must_use]
    pub fn contains(&self, id: ids::RequestId) -> bool {
        let waiting = self.waiting.values().flatten();
        let flying = self.flight.iter().flat_map(|batch| &batch.records);
        waiting.chain(flying).any(|record| record.id == id)
    }

    /// Whether every record is durable.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether no further record can be taken.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len() >= self.rules.capacity
    }

    /// Whether no record waits for this or an earlier window, so that a [`ledger::SealRow`] may be
    /// written for it once the window is over.
    #[must_use]
    pub fn is_drained(&self, window: ids::WindowId) -> bool {
        let waiting = self.waiting.keys().next().is_some_and(|first| *first <= window);
        let flying = self.flight.as_ref().is_some_and(|batch| batch.window <= window);
        !waiting && !flying
    }

    /// Takes in what happened and tells what to do next.
    pub fn handle(
        &mut self,
        event: ledger::BatcherEvent,
        now: time::Instant,
    ) -> ledger::BatcherAction {
        match event {
            ledger::BatcherEvent::Tick => {}
            ledger::BatcherEvent::Flush => self.due = self.due.map(|_| now),
            ledger::BatcherEvent::InsertDone(store::WriteOutcome::Applied(_)) => {
                return self.durable(now);
            }
            ledger::BatcherEvent::InsertDone(store::WriteOutcome::Conflict) => {
                self.call = Call::Look;
            }
            // The insert is sent again as it was: it conflicts if it had been applied.
            ledger::BatcherEvent::InsertDone(_) => self.pause(Call::Insert, now),
            ledger::BatcherEvent::ReadFailed => self.pause(Call::Look, now),
            ledger::BatcherEvent::Exists(true) => return self.durable(now),
            ledger::BatcherEvent::Exists(false) => self.postpone(),
        }
        self.next(now)
    }

    /// The batch in flight is in its row.
    fn durable(&mut self, now: time::Instant) -> ledger::BatcherAction {
        self.pace.after_success(now);
        let records = self.flight.take().map(|batch| batch.records).unwrap_or_default();
        ledger::BatcherAction::Durable(records.iter().map(|record| record.id).collect())
    }

    /// The window was closed without the batch: its records go into the next one.
    fn postpone(&mut self) {
        let Some(batch) = self.flight.take() else { return };
        let next = self.waiting.entry(batch.window + 1).or_default();
        next.splice(0..0, batch.records);
    }

    fn pause(&mut self, call: Call, now: time::Instant) {
        self.call = call;
        self.paused_until = Some(self.pace.after_failure(now));
    }

    fn next(&mut self, now: time::Instant) -> ledger::BatcherAction {
        if let Some(until) = self.paused_until.filter(|until| now < *until) {
            return ledger::BatcherAction::Wait(until);
        }
        if self.flight.is_none()
            && let Some(action) = self.load(now)
        {
            return action;
        }
        let Some(batch) = &self.flight else { return ledger::BatcherAction::Idle };
        let action = match self.call {
            Call::Insert => ledger::BatcherAction::Insert(batch.clone()),
            Call::Look => ledger::BatcherAction::CheckExists(batch.key()),
            Call::UnderWay => ledger::BatcherAction::Idle,
        };
        self.call = Call::UnderWay;
        action
    }

    /// Puts the next batch into flight; what to do instead if it is not time.
    fn load(&mut self, now: time::Instant) -> Option<ledger::BatcherAction> {
        let Some(mut first) = self.waiting.first_entry() else {
            self.due = None;
            return Some(ledger::BatcherAction::Idle);
        };
        let due = *self.due.get_or_insert(now);
        if now < due && first.get().len() < self.rules.batch_size {
            return Some(ledger::BatcherAction::Wait(due));
        }
        let window = *first.key();
        let count = first.get().len().min(self.rules.batch_size);
        let records = first.get_mut().drain(..count).collect();
        if first.get().is_empty() {
            first.remove();
        }
        if self.waiting.is_empty() {
            self.due = None;
        }
        self.number += 1;
        self.call = Call::Insert;
        self.flight = Some(ledger::BatchRow {
            window,
            writer: self.writer.clone(),
            incarnation: self.incarnation,
            number: self.number,
            records,
        });
        None
    }
}
