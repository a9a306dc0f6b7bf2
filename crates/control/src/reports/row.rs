//! The stored row of a final report.

use azuregap_core::ids;
use azuregap_platform::error;
use azuregap_platform::table;
use serde::Deserialize;
use serde::Serialize;

use super::report;
use crate::usage::keys;

/// Most reports returned by a listing.
const MAX_LISTED: usize = 1_000;

/// Value of a report row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportRow {
    /// Number of the window since the Unix epoch.
    pub window: u64,
    /// The exact text that is sent.
    pub text: String,
    /// Fencing token under which the report was made final.
    pub fence: ids::Fence,
    /// Whether the usage intake has acknowledged the report.
    pub acknowledged: bool,
}

/// The representation of a report in the operator API.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportView {
    /// Whether the usage intake has acknowledged the report.
    pub acknowledged: bool,
    /// The report.
    #[serde(flatten)]
    pub report: report::Report,
}

/// Lists the stored reports, oldest first.
///
/// # Errors
///
/// [`error::PlatformError`] if the table service returned no result.
pub async fn list(table: &table::Table) -> error::PlatformResult<Vec<ReportView>> {
    let rows = table.scan(keys::REPORTS, "", MAX_LISTED).await?;
    rows.into_iter().map(view).collect()
}

/// Looks up the final report of one window.
///
/// # Errors
///
/// [`error::PlatformError`] if the table service returned no result.
pub async fn find(table: &table::Table, window: u64) -> error::PlatformResult<Option<ReportView>> {
    table.read(keys::report(window)).await?.map(view).transpose()
}

fn view(row: table::Row) -> error::PlatformResult<ReportView> {
    let row: ReportRow = read(row)?;
    let report = serde_json::from_str(&row.text)
        .map_err(|error| error::PlatformError::Refused(error.to_string()))?;
    Ok(ReportView { acknowledged: row.acknowledged, report })
}

/// Deserializes the value of a row.
pub(super) fn read<T: serde::de::DeserializeOwned>(row: table::Row) -> error::PlatformResult<T> {
    serde_json::from_value(row.value)
        .map_err(|error| error::PlatformError::Refused(error.to_string()))
}
