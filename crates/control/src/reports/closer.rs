//! Closes windows and sends their reports.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_platform::error;
use azuregap_platform::table;
use azuregap_platform::usage as intake;
use azuregap_wire::control;
use bytes::Bytes;
use tokio::time::Instant;

use super::aggregate;
use super::cursor;
use super::row;
use crate::holder;
use crate::keys as json;
use crate::usage;
use crate::usage::keys;

/// Longest wait for processes that have not declared a window complete, counted from when this
/// process could first have closed it.
const MAX_WRITER_WAIT: time::Duration = time::Duration::from_secs(60);

/// Windows before the first announced one that are closed as well, for clocks that run behind.
const EXTRA_PAST_WINDOWS: u64 = 2;

/// Rows read per scan.
const PAGE_ROWS: usize = 500;

/// Closes windows and sends their reports while this process holds the lease.
#[derive(Debug)]
pub struct WindowCloser {
    holder: holder::LeaseHandle,
    table: table::Table,
    intake: intake::UsageIntake,
    windows: usage::Windows,
    waiting: Option<(u64, Instant)>,
}

impl WindowCloser {
    /// Creates the closer of the process that owns `holder`.
    #[must_use]
    pub const fn new(
        holder: holder::LeaseHandle,
        table: table::Table,
        intake: intake::UsageIntake,
        windows: usage::Windows,
    ) -> Self {
        Self { holder, table, intake, windows, waiting: None }
    }

    /// Closes the next window if it is due, and sends unacknowledged reports, if this process
    /// holds the lease.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] if the platform returned no result; the next round continues.
    pub async fn run_round(&mut self) -> error::PlatformResult<()> {
        let Some(fence) = self.holder.fencing_token() else {
            self.waiting = None;
            return Ok(());
        };
        let Some((version, cursor)) = self.cursor(fence).await? else { return Ok(()) };
        if cursor.next < self.windows.now() && self.is_due(cursor.next).await? {
            self.close(fence, version, cursor).await?;
        }
        self.send(fence).await
    }

    /// Reads the cursor, or creates it at the first window that a writer announced.
    async fn cursor(
        &self,
        fence: ids::Fence,
    ) -> error::PlatformResult<Option<(u64, cursor::Cursor)>> {
        if let Some(found) = cursor::read(&self.table).await? {
            return Ok(Some(found));
        }
        let writers = self.writers().await?;
        let Some(first) = writers.iter().map(|(_, writer)| writer.from).min() else {
            return Ok(None);
        };
        let first = first.saturating_sub(EXTRA_PAST_WINDOWS);
        let cursor = cursor::Cursor { next: first, unsent: first };
        let transaction = table::Transaction::new()
            .check(cursor::CURSOR_KEY, 0)
            .put(cursor::CURSOR_KEY, json::row_json(&cursor)?);
        self.holder.commit(&self.table, fence, transaction).await?;
        cursor::read(&self.table).await
    }

    /// Whether every writer has declared `window` complete, or [`MAX_WRITER_WAIT`] has passed.
    async fn is_due(&mut self, window: u64) -> error::PlatformResult<bool> {
        let writers = self.writers().await?;
        let now = Instant::now();
        let since = match self.waiting {
            Some((waiting, since)) if waiting == window => since,
            _ => now,
        };
        self.waiting = Some((window, since));
        let complete = writers.iter().all(|(_, writer)| writer.complete > window);
        Ok(complete || now.duration_since(since) >= MAX_WRITER_WAIT)
    }

    async fn writers(&self) -> error::PlatformResult<Vec<(table::Row, usage::WriterRow)>> {
        let rows = self.scan(keys::WRITERS).await?;
        rows.into_iter().map(|found| Ok((found.clone(), row::read(found)?))).collect()
    }

    /// Closes the window to new batches, aggregates its batches, and stores the final report.
    async fn close(
        &self,
        fence: ids::Fence,
        version: u64,
        cursor: cursor::Cursor,
    ) -> error::PlatformResult<()> {
        let window = cursor.next;
        let closed = keys::closed(window);
        let mark = table::Transaction::new()
            .check(closed.clone(), 0)
            .put(closed, serde_json::json!({ "fence": fence }));
        // A conflict means that the window is already marked as closed.
        self.holder.commit(&self.table, fence, mark).await?;
        let records = self.records(window).await?;
        let billed = self.billed_before(window, &records).await?;
        let length = self.windows.length().as_secs();
        let report = aggregate::aggregate(window, length, &records, &billed);
        let text = serde_json::to_string(&report)
            .map_err(|error| error::PlatformError::Refused(error.to_string()))?;
        let frozen = row::ReportRow { window, text, fence, acknowledged: false };
        let next = cursor::Cursor { next: window + 1, ..cursor };
        let key = keys::report(window);
        let mut freeze = table::Transaction::new()
            .check(key.clone(), 0)
            .check(cursor::CURSOR_KEY, version)
            .put(key, json::row_json(&frozen)?)
            .put(cursor::CURSOR_KEY, json::row_json(&next)?);
        for (stale, _) in self.stale_writers(window).await? {
            freeze = freeze.check(stale.key.clone(), stale.version).delete(stale.key);
        }
        let table::Commit::Applied(_) = self.holder.commit(&self.table, fence, freeze).await?
        else {
            return Ok(());
        };
        tracing::info!(
            decision = "close",
            code = 0,
            window,
            fence,
            records = records.len(),
            teams = report.teams.len(),
            "usage window"
        );
        Ok(())
    }

    /// Writers that have not declared `window` complete.
    async fn stale_writers(
        &self,
        window: u64,
    ) -> error::PlatformResult<Vec<(table::Row, usage::WriterRow)>> {
        let mut writers = self.writers().await?;
        writers.retain(|(_, writer)| writer.complete <= window);
        Ok(writers)
    }

    async fn records(&self, window: u64) -> error::PlatformResult<Vec<control::UsageRecord>> {
        let mut records = Vec::new();
        for found in self.scan(&keys::batches(window)).await? {
            let batch: usage::Batch = row::read(found)?;
            records.extend(batch.records);
        }
        Ok(records)
    }

    /// Ids of requests that were billed in earlier windows. The windows of a record and of its copy
    /// differ by at most one, so only windows from the one before the oldest record on can hold a
    /// duplicate.
    async fn billed_before(
        &self,
        window: u64,
        records: &[control::UsageRecord],
    ) -> error::PlatformResult<collections::HashSet<ids::RequestId>> {
        let oldest = records.iter().map(|record| record.window).min().unwrap_or(window);
        let mut billed = collections::HashSet::new();
        for earlier in oldest.saturating_sub(1)..window {
            let records = self.records(earlier).await?;
            billed.extend(records.iter().map(|record| record.id));
        }
        Ok(billed)
    }

    /// Sends the final reports in order, up to the first that is not acknowledged.
    async fn send(&self, fence: ids::Fence) -> error::PlatformResult<()> {
        loop {
            let Some((version, cursor)) = cursor::read(&self.table).await? else { return Ok(()) };
            if cursor.unsent >= cursor.next {
                return Ok(());
            }
            let key = keys::report(cursor.unsent);
            let Some(found) = self.table.read(key.clone()).await? else { return Ok(()) };
            let (frozen_version, frozen): (_, row::ReportRow) = (found.version, row::read(found)?);
            let text = Bytes::from(frozen.text.clone().into_bytes());
            let report = intake::UsageReport { window: frozen.window, fence, text };
            self.holder.send(fence, self.intake.send(report)).await?;
            let next = cursor::Cursor { unsent: cursor.unsent + 1, ..cursor };
            let frozen = row::ReportRow { acknowledged: true, ..frozen };
            let settle = table::Transaction::new()
                .check(key.clone(), frozen_version)
                .check(cursor::CURSOR_KEY, version)
                .put(key, json::row_json(&frozen)?)
                .put(cursor::CURSOR_KEY, json::row_json(&next)?);
            self.holder.commit(&self.table, fence, settle).await?;
            tracing::info!(
                decision = "report",
                code = 0,
                window = frozen.window,
                fence,
                frozen = frozen.fence,
                "usage report"
            );
        }
    }

    /// Every row whose key starts with `prefix`.
    async fn scan(&self, prefix: &str) -> error::PlatformResult<Vec<table::Row>> {
        let mut rows: Vec<table::Row> = Vec::new();
        loop {
            let after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
            let page = self.table.scan(prefix, after, PAGE_ROWS).await?;
            let full = page.len() == PAGE_ROWS;
            rows.extend(page);
            if !full {
                return Ok(rows);
            }
        }
    }
}
