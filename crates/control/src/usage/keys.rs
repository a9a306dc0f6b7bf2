//! Keys of the usage rows in the table service.
//!
//! Numbers are zero-padded, so that keys sort in numeric order.

use azuregap_core::ids;

/// Key prefix of the [`writer`] rows.
pub const WRITERS: &str = "usage/writer/";

/// Key prefix of the [`report`] rows.
pub const REPORTS: &str = "usage/report/";

/// Returns the key of a writer's progress row, which holds the window up to which it wrote all
/// records.
#[must_use]
pub fn writer(node: &str, incarnation: ids::Incarnation) -> String {
    format!("{WRITERS}{node}/{incarnation:016x}")
}

/// Returns the key prefix of the batches of `window`.
#[must_use]
pub fn batches(window: u64) -> String {
    format!("usage/batch/{window:012}/")
}

/// Returns the key of batch `number` of a process in `window`.
#[must_use]
pub fn batch(window: u64, node: &str, incarnation: ids::Incarnation, number: u64) -> String {
    format!("{}{node}/{incarnation:016x}/{number:012}", batches(window))
}

/// Returns the key of the row that closes `window` for further batches.
#[must_use]
pub fn closed(window: u64) -> String {
    format!("usage/closed/{window:012}")
}

/// Returns the key of the final report of `window`.
#[must_use]
pub fn report(window: u64) -> String {
    format!("{REPORTS}{window:012}")
}
