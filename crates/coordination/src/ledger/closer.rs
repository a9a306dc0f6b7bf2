//! The closing of one window.

use std::collections;

use crate::ids;
use crate::ledger;
use crate::store;

/// The closing of one window by the lease holder; see the [module](crate::ledger).
#[derive(Clone, Debug)]
pub struct WindowCloser {
    window: ids::WindowId,
    first: ids::WindowId,
    phase: Phase,
    version: ids::RowVersion,
    /// The report was acknowledged, and the row may not say so yet.
    sent: bool,
    records: Vec<ledger::Record>,
    billed: collections::HashSet<ids::RequestId>,
}

/// How far the closing is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The row of the window before is read.
    Before,
    /// The row of the window is read or written.
    Own,
    /// Batches of this window are read.
    Scan(ids::WindowId),
    /// The report is sent.
    Send,
}

impl WindowCloser {
    /// Closes `window`; `first` is the first window that ever was.
    #[must_use]
    pub fn new(window: ids::WindowId, first: ids::WindowId) -> Self {
        Self {
            window,
            first,
            phase: Phase::Before,
            version: 0,
            sent: false,
            records: Vec::new(),
            billed: collections::HashSet::new(),
        }
    }

    /// Takes in what happened and tells what to do next.
    pub fn handle(&mut self, event: ledger::CloserEvent) -> ledger::CloserAction {
        match event {
            ledger::CloserEvent::Start => self.start(),
            ledger::CloserEvent::ReadDone(stored) => self.on_window(stored),
            ledger::CloserEvent::WriteDone(outcome) => self.on_wrote(outcome),
            ledger::CloserEvent::ScanDone { rows, last } => self.on_batches(rows, last),
            ledger::CloserEvent::Acknowledged => self.on_sent(),
            ledger::CloserEvent::Failed => ledger::CloserAction::Pause,
        }
    }

    /// Windows are closed in order, so that what earlier ones billed no longer changes.
    fn start(&mut self) -> ledger::CloserAction {
        if self.window <= self.first {
            return self.read();
        }
        self.phase = Phase::Before;
        ledger::CloserAction::Read(self.window - 1)
    }

    fn read(&mut self) -> ledger::CloserAction {
        self.phase = Phase::Own;
        ledger::CloserAction::Read(self.window)
    }

    fn on_window(
        &mut self,
        stored: store::VersionedRow<ledger::WindowRow>,
    ) -> ledger::CloserAction {
        if self.phase == Phase::Before {
            let frozen = stored.value.as_ref().is_some_and(|row| row.report_text().is_some());
            return if frozen { self.read() } else { ledger::CloserAction::PreviousNotFrozen };
        }
        self.version = stored.version;
        match stored.value.map(|row| row.state) {
            None => self.write(ledger::WindowState::Closing),
            Some(state) => self.on_state(state),
        }
    }

    /// The row of the window is in this state.
    fn on_state(&mut self, state: ledger::WindowState) -> ledger::CloserAction {
        match state {
            ledger::WindowState::Closing => {
                self.records.clear();
                self.billed.clear();
                self.scan(self.window)
            }
            ledger::WindowState::Frozen(text) if self.sent => {
                self.write(ledger::WindowState::Acknowledged(text))
            }
            ledger::WindowState::Frozen(text) => {
                self.phase = Phase::Send;
                ledger::CloserAction::Send(text)
            }
            ledger::WindowState::Acknowledged(_) => ledger::CloserAction::Done,
        }
    }

    /// Whatever became of a write, the row tells it, also if another holder was faster.
    fn on_wrote(&mut self, outcome: store::WriteOutcome) -> ledger::CloserAction {
        match outcome {
            store::WriteOutcome::Refused => ledger::CloserAction::Pause,
            _ => self.read(),
        }
    }

    fn scan(&mut self, window: ids::WindowId) -> ledger::CloserAction {
        self.phase = Phase::Scan(window);
        ledger::CloserAction::Scan(window)
    }

    fn on_batches(&mut self, rows: Vec<ledger::BatchRow>, last: bool) -> ledger::CloserAction {
        let Phase::Scan(window) = self.phase else { return ledger::CloserAction::Pause };
        let records = rows.into_iter().flat_map(|row| row.records);
        if window == self.window {
            self.records.extend(records);
        } else {
            self.billed.extend(records.map(|record| record.id));
        }
        match last {
            false => ledger::CloserAction::Scan(window),
            true if window > self.oldest() => self.scan(window - 1),
            true => self.freeze(),
        }
    }

    /// The oldest window that may have billed one of the records: the one before the oldest that a
    /// record belongs to, because two counters may disagree about the end of a window by one.
    fn oldest(&self) -> ids::WindowId {
        let oldest = self.records.iter().map(|record| record.window).min();
        oldest.unwrap_or(self.window).min(self.window).saturating_sub(1).max(self.first)
    }

    fn freeze(&mut self) -> ledger::CloserAction {
        let report = ledger::Report::new(self.window, &self.records, &self.billed);
        self.write(ledger::WindowState::Frozen(report.to_json()))
    }

    /// The row is read again for its text, and then says that the report was acknowledged.
    fn on_sent(&mut self) -> ledger::CloserAction {
        self.sent = true;
        self.read()
    }

    fn write(&mut self, state: ledger::WindowState) -> ledger::CloserAction {
        self.phase = Phase::Own;
        let row = ledger::WindowRow { window: self.window, state };
        ledger::CloserAction::Write { version: self.version, row }
    }
}
