//! State machine that writes records in batches.

use std::collections;

use tokio::time;

use crate::configuration;
use crate::ids;
use crate::ledger;
use crate::store;

/// Base retry interval after a failed call; doubles with each consecutive failure.
const RETRY_INTERVAL: std::time::Duration = std::time::Duration::from_millis(500);

/// Writes the records of a writer to the table service in batches, with one call in progress at a
/// time.
#[derive(Clone, Debug)]
pub struct Batcher {
    writer: ids::NodeId,
    incarnation: ids::Incarnation,
    options: ledger::BatchOptions,
    queued: collections::BTreeMap<ids::WindowId, Vec<ledger::Record>>,
    in_flight: Option<ledger::BatchRow>,
    call: Call,
    number: u64,
    backoff: configuration::JitteredBackoff,
    /// When the oldest queued record must be written.
    flush_at: Option<time::Instant>,
    paused_until: Option<time::Instant>,
}

/// Next step for the batch in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Insert,
    CheckExists,
    Pending,
}

impl Batcher {
    /// Creates a batcher without records.
    #[must_use]
    pub fn new(
        writer: impl Into<ids::NodeId>,
        incarnation: ids::Incarnation,
        options: ledger::BatchOptions,
    ) -> Self {
        Self {
            writer: writer.into(),
            incarnation,
            options,
            queued: collections::BTreeMap::new(),
            in_flight: None,
            call: Call::Insert,
            number: 0,
            backoff: configuration::JitteredBackoff::new(RETRY_INTERVAL, incarnation),
            flush_at: None,
            paused_until: None,
        }
    }

    /// Adds a record.
    ///
    /// # Errors
    ///
    /// Returns the record if the batcher is full. An agent must then reject new work, because its
    /// usage could not be billed.
    pub fn add(
        &mut self,
        record: ledger::Record,
        now: time::Instant,
    ) -> Result<(), Box<ledger::Record>> {
        if self.is_full() {
            return Err(Box::new(record));
        }
        self.flush_at = self.flush_at.or(Some(now + self.options.interval));
        self.queued.entry(record.window).or_default().push(record);
        Ok(())
    }

    /// Number of records that are not durable yet.
    #[must_use]
    pub fn len(&self) -> usize {
        let in_flight = self.in_flight.as_ref().map_or(0, |batch| batch.records.len());
        in_flight + self.queued.values().map(Vec::len).sum::<usize>()
    }

    /// Whether a record of this request is not durable yet. Queried by processes that hold a copy
    /// and may have missed the notification.
    #[must_use]
    pub fn contains(&self, id: ids::RequestId) -> bool {
        let queued = self.queued.values().flatten();
        let in_flight = self.in_flight.iter().flat_map(|batch| &batch.records);
        queued.chain(in_flight).any(|record| record.id == id)
    }

    /// Whether every record is durable.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether no further record can be added.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.len() >= self.options.capacity
    }

    /// Whether no record for this or an earlier window is pending, so that a [`ledger::SealRow`]
    /// may be written once the window is over.
    #[must_use]
    pub fn is_drained(&self, window: ids::WindowId) -> bool {
        let queued = self.queued.keys().next().is_some_and(|first| *first <= window);
        let in_flight = self.in_flight.as_ref().is_some_and(|batch| batch.window <= window);
        !queued && !in_flight
    }

    /// Handles `event` and returns the next action.
    pub fn handle(
        &mut self,
        event: ledger::BatcherEvent,
        now: time::Instant,
    ) -> ledger::BatcherAction {
        match event {
            ledger::BatcherEvent::Tick => {}
            ledger::BatcherEvent::Flush => self.flush_at = self.flush_at.map(|_| now),
            ledger::BatcherEvent::InsertDone(store::WriteOutcome::Applied(_)) => {
                return self.on_durable(now);
            }
            ledger::BatcherEvent::InsertDone(store::WriteOutcome::Conflict) => {
                self.call = Call::CheckExists;
            }
            // The same insert is retried; it conflicts if the first attempt was applied.
            ledger::BatcherEvent::InsertDone(_) => self.pause(Call::Insert, now),
            ledger::BatcherEvent::ReadFailed => self.pause(Call::CheckExists, now),
            ledger::BatcherEvent::Exists(true) => return self.on_durable(now),
            ledger::BatcherEvent::Exists(false) => self.move_to_next_window(),
        }
        self.next_action(now)
    }

    /// Completes the batch in flight.
    fn on_durable(&mut self, now: time::Instant) -> ledger::BatcherAction {
        self.backoff.after_success(now);
        let records = self.in_flight.take().map(|batch| batch.records).unwrap_or_default();
        ledger::BatcherAction::Durable(records.iter().map(|record| record.id).collect())
    }

    /// Moves the records to the next window, because the window was closed without the batch.
    fn move_to_next_window(&mut self) {
        let Some(batch) = self.in_flight.take() else { return };
        let next = self.queued.entry(batch.window + 1).or_default();
        next.splice(0..0, batch.records);
    }

    fn pause(&mut self, call: Call, now: time::Instant) {
        self.call = call;
        self.paused_until = Some(self.backoff.after_failure(now));
    }

    fn next_action(&mut self, now: time::Instant) -> ledger::BatcherAction {
        if let Some(until) = self.paused_until.filter(|until| now < *until) {
            return ledger::BatcherAction::Wait(until);
        }
        if self.in_flight.is_none()
            && let Some(action) = self.start_batch(now)
        {
            return action;
        }
        let Some(batch) = &self.in_flight else { return ledger::BatcherAction::Idle };
        let action = match self.call {
            Call::Insert => ledger::BatcherAction::Insert(batch.clone()),
            Call::CheckExists => ledger::BatcherAction::CheckExists(batch.key()),
            Call::Pending => ledger::BatcherAction::Idle,
        };
        self.call = Call::Pending;
        action
    }

    /// Starts the next batch if one is due; otherwise returns the action to take instead.
    fn start_batch(&mut self, now: time::Instant) -> Option<ledger::BatcherAction> {
        let Some(mut first) = self.queued.first_entry() else {
            self.flush_at = None;
            return Some(ledger::BatcherAction::Idle);
        };
        let flush_at = *self.flush_at.get_or_insert(now);
        if now < flush_at && first.get().len() < self.options.batch_size {
            return Some(ledger::BatcherAction::Wait(flush_at));
        }
        let window = *first.key();
        let count = first.get().len().min(self.options.batch_size);
        let records = first.get_mut().drain(..count).collect();
        if first.get().is_empty() {
            first.remove();
        }
        if self.queued.is_empty() {
            self.flush_at = None;
        }
        self.number += 1;
        self.call = Call::Insert;
        self.in_flight = Some(ledger::BatchRow {
            window,
            writer: self.writer.clone(),
            incarnation: self.incarnation,
            number: self.number,
            records,
        });
        None
    }
}
