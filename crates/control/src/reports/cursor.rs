//! Progress of closing and reporting.

use azuregap_platform::error;
use azuregap_platform::table;
use serde::Deserialize;
use serde::Serialize;

use super::row;

/// Row key of the cursor.
pub const CURSOR_KEY: &str = "usage/cursor";

/// Value of the row at [`CURSOR_KEY`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cursor {
    /// The next window to close.
    pub next: u64,
    /// The first window whose report is not acknowledged.
    pub unsent: u64,
}

/// Reads the cursor with the version of its row; `None` if there is none.
pub(super) async fn read(table: &table::Table) -> error::PlatformResult<Option<(u64, Cursor)>> {
    let Some(row) = table.read(CURSOR_KEY).await? else { return Ok(None) };
    Ok(Some((row.version, row::read(row)?)))
}
