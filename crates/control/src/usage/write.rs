//! Writes what a process has recorded, again and again.

use std::time;

use azuregap_platform::error;
use azuregap_platform::table;

use super::flush;
use super::recorder;
use super::windows;
use crate::process;

/// Time between two batches.
pub(super) const FLUSH_EVERY: time::Duration = time::Duration::from_secs(1);

/// Writes the records of `recorder` and announces the windows that are complete, until it is
/// dropped. `oldest` tells the smallest window of which the process still has records.
pub async fn run_writer(
    recorder: recorder::Recorder,
    oldest: impl Fn() -> Option<u64>,
    table: table::Table,
    process: process::Process,
    windows: windows::Windows,
) {
    let mut progress = flush::WriterProgress::new(windows.now());
    loop {
        let window = windows.now();
        let round = async {
            flush::flush(&recorder, &table, &process, &windows).await?;
            let complete = oldest().unwrap_or(window).min(window);
            progress.announce(&table, &process, complete).await
        };
        log(round.await, &recorder);
        tokio::time::sleep(FLUSH_EVERY).await;
    }
}

fn log(written: error::PlatformResult<()>, recorder: &recorder::Recorder) {
    if let Err(error) = written {
        tracing::warn!(%error, unflushed = recorder.unflushed(), "usage not written yet");
    }
}
