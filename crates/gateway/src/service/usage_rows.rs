//! Rows of the usage table: the lease, the stored reports, and when the store's era was noticed.

use std::time::Duration;

use azuregap_coordination::ids;
use azuregap_coordination::lease;
use azuregap_coordination::store as lease_store;
use serde::Deserialize;
use serde::Serialize;

use crate::store;

/// Key of the lease row.
pub(super) const LEASE_KEY: &str = "usage-lease";

/// Key of the row with the time at which the current era of the store was noticed.
const ERA_KEY: &str = "usage-era";

/// Prefix of the keys of stored reports.
const REPORT_KEY_PREFIX: &str = "usage-report-";

/// When the first lease holder noticed an era of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(super) struct EraNotice {
    pub(super) era: ids::Era,
    /// Time of day.
    pub(super) noticed: Duration,
}

/// Write of the lease row, which must have `version`.
pub(super) fn lease_write(version: ids::RowVersion, row: &lease::LeaseRow) -> store::Write {
    let data = serde_json::to_vec(row).expect("a lease row can be encoded as JSON");
    store::Write { key: LEASE_KEY.to_owned(), data: Some(data), expected_version: Some(version) }
}

/// Write of the era row.
pub(super) fn era_write(notice: &EraNotice) -> store::Write {
    let data = serde_json::to_vec(notice).expect("a notice can be encoded as JSON");
    store::Write { key: ERA_KEY.to_owned(), data: Some(data), expected_version: None }
}

/// Key of the stored report of a window.
pub(super) fn report_key(window: u64) -> String {
    format!("{REPORT_KEY_PREFIX}{window}")
}

/// Write of the report of a window, which must not be stored yet.
pub(super) fn report_write(window: u64, body: Vec<u8>) -> store::Write {
    store::Write { key: report_key(window), data: Some(body), expected_version: Some(0) }
}

/// Removal of the stored report of a window, if there is one.
pub(super) fn report_removal(window: u64) -> store::Write {
    store::Write { key: report_key(window), data: None, expected_version: None }
}

/// The lease row; a malformed one counts as a row without a holder.
pub(super) fn decode_lease(rows: &store::Rows) -> lease_store::VersionedRow<lease::LeaseRow> {
    let Some(row) = rows.rows.iter().find(|row| row.key == LEASE_KEY) else {
        return lease_store::VersionedRow::absent();
    };
    let value = row.data.as_deref().and_then(|data| {
        serde_json::from_slice(data)
            .inspect_err(|error| {
                tracing::error!(reason = error.to_string(), "failed to decode the lease row");
            })
            .ok()
    });
    lease_store::VersionedRow { version: row.version, value }
}

/// The era row, if there is one that can be decoded.
pub(super) fn find_era_notice(rows: &store::Rows) -> Option<EraNotice> {
    let row = rows.rows.iter().find(|row| row.key == ERA_KEY)?;
    serde_json::from_slice(row.data.as_deref()?)
        .inspect_err(|error| {
            tracing::error!(reason = error.to_string(), "failed to decode the era row");
        })
        .ok()
}
