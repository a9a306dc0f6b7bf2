//! The row of a frozen report.

use azuregap_core::ids;
use azuregap_platform::error;
use azuregap_platform::table;
use serde::Deserialize;
use serde::Serialize;

use super::report;
use crate::usage::keys;

/// Reports listed at most.
const MAX_LISTED: usize = 1_000;

/// Value of the row of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportRow {
    /// The window.
    pub window: u64,
    /// Exactly what is sent.
    pub text: String,
    /// Fencing number it was frozen under.
    pub fence: ids::Fence,
    /// Whether the intake has acknowledged it.
    pub acknowledged: bool,
}

/// A report as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportView {
    /// Whether the intake has acknowledged it.
    pub acknowledged: bool,
    /// The report.
    #[serde(flatten)]
    pub report: report::Report,
}

/// The reports that are kept, the oldest first.
///
/// # Errors
///
/// [`error::PlatformError`] when the table service gave no result.
pub async fn list(table: &table::Table) -> error::PlatformResult<Vec<ReportView>> {
    let rows = table.scan(keys::REPORTS, "", MAX_LISTED).await?;
    rows.into_iter().map(view).collect()
}

/// The report of one window, if it is frozen.
///
/// # Errors
///
/// [`error::PlatformError`] when the table service gave no result.
pub async fn find(table: &table::Table, window: u64) -> error::PlatformResult<Option<ReportView>> {
    table.read(keys::report(window)).await?.map(view).transpose()
}

fn view(row: table::Row) -> error::PlatformResult<ReportView> {
    let row: ReportRow = read(row)?;
    let report = serde_json::from_str(&row.text)
        .map_err(|error| error::PlatformError::Refused(error.to_string()))?;
    Ok(ReportView { acknowledged: row.acknowledged, report })
}

/// Reads the value of a row.
pub(super) fn read<T: serde::de::DeserializeOwned>(row: table::Row) -> error::PlatformResult<T> {
    serde_json::from_value(row.value)
        .map_err(|error| error::PlatformError::Refused(error.to_string()))
}
