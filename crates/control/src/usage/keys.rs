//! Keys of the usage rows in the table service.
//!
//! Numbers are written with leading zeros, so that keys sort by them.

use azuregap_core::ids;

/// Prefix of the rows of [`writer`].
pub const WRITERS: &str = "usage/writer/";

/// Prefix of the rows of [`report`].
pub const REPORTS: &str = "usage/report/";

/// Row of a process that writes batches: until which window it wrote all it counted.
#[must_use]
pub fn writer(node: &str, incarnation: ids::Incarnation) -> String {
    format!("{WRITERS}{node}/{incarnation:016x}")
}

/// Prefix of every batch of `window`.
#[must_use]
pub fn batches(window: u64) -> String {
    format!("usage/batch/{window:012}/")
}

/// Row of batch `n` of one process in `window`.
#[must_use]
pub fn batch(window: u64, node: &str, incarnation: ids::Incarnation, n: u64) -> String {
    format!("{}{node}/{incarnation:016x}/{n:012}", batches(window))
}

/// Row that says that no batch may be added to `window` any more.
#[must_use]
pub fn closed(window: u64) -> String {
    format!("usage/closed/{window:012}")
}

/// Row of the frozen report of `window`.
#[must_use]
pub fn report(window: u64) -> String {
    format!("{REPORTS}{window:012}")
}
