//! Writes batches and announces the progress of the writer.

use azuregap_platform::error;
use azuregap_platform::table;
use serde::Deserialize;
use serde::Serialize;

use super::batch;
use super::keys;
use super::recorder;
use super::windows;
use crate::process;

/// Value of the row at [`keys::writer`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WriterRow {
    /// Name of the process.
    pub node: String,
    /// First window that the process may have records for.
    pub from: u64,
    /// The process has written all its records of windows before this one.
    pub complete: u64,
}

/// Writes all batches, and stops at the first one with an unknown outcome.
///
/// # Errors
///
/// [`error::PlatformError`] if a batch could not be written; its records are kept for a retry.
pub async fn flush(
    recorder: &recorder::Recorder,
    table: &table::Table,
    process: &process::Process,
    windows: &windows::Windows,
) -> error::PlatformResult<()> {
    while let Some(first) = recorder.first_batch() {
        match first.insert(table, process).await? {
            batch::InsertOutcome::Durable => recorder.mark_first_durable(),
            batch::InsertOutcome::WindowClosed => {
                let open = windows.now().max(first.window + 1);
                recorder.rebill_first(open);
            }
        }
    }
    Ok(())
}

/// Announces to the window closer which windows this process has completed.
#[derive(Clone, Debug)]
pub struct WriterProgress {
    from: u64,
    announced: Option<u64>,
}

impl WriterProgress {
    /// Creates the progress of a writer that starts in window `from`.
    #[must_use]
    pub const fn new(from: u64) -> Self {
        Self { from, announced: None }
    }

    /// Writes the row if `complete` has advanced.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] if the outcome is unknown; the next call writes the row again.
    pub async fn announce(
        &mut self,
        table: &table::Table,
        process: &process::Process,
        complete: u64,
    ) -> error::PlatformResult<()> {
        if self.announced.is_some_and(|announced| announced >= complete) {
            return Ok(());
        }
        let peer = &process.peer;
        let row = WriterRow { node: peer.node.clone(), from: self.from, complete };
        let value = serde_json::to_value(&row)
            .map_err(|error| error::PlatformError::Refused(error.to_string()))?;
        let key = keys::writer(&peer.node, peer.incarnation);
        table.commit(table::Transaction::new().put(key, value)).await?;
        self.announced = Some(complete);
        Ok(())
    }
}
