//! Resident memory and processor time of this process.

use std::fs;
use std::time;

/// Bytes of a page of memory.
const PAGE_BYTES: u64 = 4096;

/// Length of a tick of processor time.
const TICK: time::Duration = time::Duration::from_millis(10);

/// Field of `/proc/self/stat` with the ticks in user mode, counted after the name.
const USER_TICKS: usize = 11;

/// Resident memory of this process in bytes; 0 where it cannot be read.
pub(super) fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Processor time of all threads of this process; zero where it cannot be read.
pub(super) fn processor() -> time::Duration {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = fields.split_whitespace().skip(USER_TICKS).take(2);
    TICK * ticks.filter_map(|ticks| ticks.parse::<u32>().ok()).sum()
}
