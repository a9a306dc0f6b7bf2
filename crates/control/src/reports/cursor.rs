//! How far closing and reporting are.

use azuregap_platform::error;
use azuregap_platform::table;
use serde::Deserialize;
use serde::Serialize;

use super::row;

/// Key of the row.
pub const CURSOR_KEY: &str = "usage/cursor";

/// Value of the row at [`CURSOR_KEY`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cursor {
    /// The window to be closed next.
    pub next: u64,
    /// The first window whose report is not acknowledged.
    pub unsent: u64,
}

/// The cursor with the version of its row, if there is one.
pub(super) async fn read(table: &table::Table) -> error::PlatformResult<Option<(u64, Cursor)>> {
    let Some(row) = table.read(CURSOR_KEY).await? else { return Ok(None) };
    Ok(Some((row.version, row::read(row)?)))
}
