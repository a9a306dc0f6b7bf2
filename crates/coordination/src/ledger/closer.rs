//! State machine that closes a window.

use std::collections;

use crate::ids;
use crate::ledger;
use crate::store;

/// Closes a window on behalf of the lease holder; see the [module](crate::ledger).
#[derive(Clone, Debug)]
pub struct WindowCloser {
    window: ids::WindowId,
    first_window: ids::WindowId,
    phase: Phase,
    version: ids::RowVersion,
    /// The report was acknowledged; the row may not record it yet.
    acknowledged: bool,
    records: Vec<ledger::Record>,
    billed: collections::HashSet<ids::RequestId>,
}

/// Phase of the closing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Reading the row of the previous window.
    ReadPrevious,
    /// Reading or writing the row of the window.
    UpdateWindow,
    /// Reading the batches of this window.
    ScanBatches(ids::WindowId),
    /// Sending the report.
    SendReport,
}

impl WindowCloser {
    /// Creates the state machine that closes `window`; `first_window` is the first window of all.
    #[must_use]
    pub fn new(window: ids::WindowId, first_window: ids::WindowId) -> Self {
        Self {
            window,
            first_window,
            phase: Phase::ReadPrevious,
            version: 0,
            acknowledged: false,
            records: Vec::new(),
            billed: collections::HashSet::new(),
        }
    }

    /// Handles `event` and returns the next action.
    pub fn handle(&mut self, event: ledger::CloserEvent) -> ledger::CloserAction {
        match event {
            ledger::CloserEvent::Start => self.start(),
            ledger::CloserEvent::ReadDone(stored) => self.on_read(stored),
            ledger::CloserEvent::WriteDone(outcome) => self.on_write_done(outcome),
            ledger::CloserEvent::ScanDone { rows, last } => self.on_batches(rows, last),
            ledger::CloserEvent::Acknowledged => self.on_acknowledged(),
            ledger::CloserEvent::Failed => ledger::CloserAction::Pause,
        }
    }

    /// Starts with the previous window: windows are closed in order, so that the records billed in
    /// earlier windows no longer change.
    fn start(&mut self) -> ledger::CloserAction {
        if self.window <= self.first_window {
            return self.read_window();
        }
        self.phase = Phase::ReadPrevious;
        ledger::CloserAction::Read(self.window - 1)
    }

    fn read_window(&mut self) -> ledger::CloserAction {
        self.phase = Phase::UpdateWindow;
        ledger::CloserAction::Read(self.window)
    }

    fn on_read(&mut self, stored: store::VersionedRow<ledger::WindowRow>) -> ledger::CloserAction {
        if self.phase == Phase::ReadPrevious {
            let frozen = stored.value.as_ref().is_some_and(|row| row.report_text().is_some());
            return if frozen {
                self.read_window()
            } else {
                ledger::CloserAction::PreviousNotFrozen
            };
        }
        self.version = stored.version;
        match stored.value.map(|row| row.state) {
            None => self.write_window(ledger::WindowState::Closing),
            Some(state) => self.on_state(state),
        }
    }

    /// Continues from the state that the window row records.
    fn on_state(&mut self, state: ledger::WindowState) -> ledger::CloserAction {
        match state {
            ledger::WindowState::Closing => {
                self.records.clear();
                self.billed.clear();
                self.scan(self.window)
            }
            ledger::WindowState::Frozen(text) if self.acknowledged => {
                self.write_window(ledger::WindowState::Acknowledged(text))
            }
            ledger::WindowState::Frozen(text) => {
                self.phase = Phase::SendReport;
                ledger::CloserAction::Send(text)
            }
            ledger::WindowState::Acknowledged(_) => ledger::CloserAction::Done,
        }
    }

    /// Reads the row to determine the result of the write, also if another holder was faster.
    fn on_write_done(&mut self, outcome: store::WriteOutcome) -> ledger::CloserAction {
        match outcome {
            store::WriteOutcome::Refused => ledger::CloserAction::Pause,
            _ => self.read_window(),
        }
    }

    fn scan(&mut self, window: ids::WindowId) -> ledger::CloserAction {
        self.phase = Phase::ScanBatches(window);
        ledger::CloserAction::Scan(window)
    }

    fn on_batches(&mut self, rows: Vec<ledger::BatchRow>, last: bool) -> ledger::CloserAction {
        let Phase::ScanBatches(window) = self.phase else { return ledger::CloserAction::Pause };
        let records = rows.into_iter().flat_map(|row| row.records);
        if window == self.window {
            self.records.extend(records);
        } else {
            self.billed.extend(records.map(|record| record.id));
        }
        match last {
            false => ledger::CloserAction::Scan(window),
            true if window > self.oldest_to_scan() => self.scan(window - 1),
            true => self.freeze(),
        }
    }

    /// The oldest window in which one of the records may have been billed. This is the one before
    /// the oldest window of a record, because two processes that count the same request may differ
    /// by one window.
    fn oldest_to_scan(&self) -> ids::WindowId {
        let oldest = self.records.iter().map(|record| record.window).min();
        oldest.unwrap_or(self.window).min(self.window).saturating_sub(1).max(self.first_window)
    }

    fn freeze(&mut self) -> ledger::CloserAction {
        let report = ledger::Report::new(self.window, &self.records, &self.billed);
        self.write_window(ledger::WindowState::Frozen(report.to_json()))
    }

    /// Reads the row again for the report text, which is then written back as acknowledged.
    fn on_acknowledged(&mut self) -> ledger::CloserAction {
        self.acknowledged = true;
        self.read_window()
    }

    fn write_window(&mut self, state: ledger::WindowState) -> ledger::CloserAction {
        self.phase = Phase::UpdateWindow;
        let row = ledger::WindowRow { window: self.window, state };
        ledger::CloserAction::Write { version: self.version, row }
    }
}
