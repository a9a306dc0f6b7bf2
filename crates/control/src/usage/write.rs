//! Periodic writer of the usage records of a process.

use std::time;

use azuregap_platform::error;
use azuregap_platform::table;

use super::flush;
use super::recorder;
use super::windows;
use crate::process;

/// Interval between flushes.
pub(super) const FLUSH_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Writes the records of `recorder` periodically and announces the completed windows. Runs until it
/// is dropped. `oldest` returns the earliest window that the process still has records for.
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
        log_failure(round.await, &recorder);
        tokio::time::sleep(FLUSH_INTERVAL).await;
    }
}

fn log_failure(written: error::PlatformResult<()>, recorder: &recorder::Recorder) {
    if let Err(error) = written {
        tracing::warn!(%error, unflushed = recorder.unflushed(), "failed to write usage; retrying");
    }
}
