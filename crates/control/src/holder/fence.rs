//! The fencing number in force, for processes that only check it.

use azuregap_coordination::lease;
use azuregap_core::ids;
use azuregap_platform::error;
use azuregap_platform::table;

use super::service;

/// Reads the fencing number of the lease of the process in charge; 0 before the first holder.
///
/// # Errors
///
/// [`error::PlatformError`] when the row could not be read.
pub async fn read_fence(table: &table::Table) -> error::PlatformResult<ids::Fence> {
    let row = table.read(format!("lease/{}", service::NAME)).await?;
    let Some(row) = row else { return Ok(0) };
    let row: lease::LeaseRow = serde_json::from_value(row.value)
        .map_err(|error| error::PlatformError::Unknown(error.to_string()))?;
    Ok(row.fence)
}
