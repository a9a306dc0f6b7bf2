//! The current fencing token, for processes that only verify it.

use azuregap_coordination::lease;
use azuregap_core::ids;
use azuregap_platform::error;
use azuregap_platform::table;

use super::service;

/// Reads the fencing token of the control lease; 0 if the lease was never held.
///
/// # Errors
///
/// [`error::PlatformError`] if the row cannot be read.
pub async fn read_fence(table: &table::Table) -> error::PlatformResult<ids::Fence> {
    let row = table.read(format!("lease/{}", service::NAME)).await?;
    let Some(row) = row else { return Ok(0) };
    let row: lease::LeaseRow = serde_json::from_value(row.value)
        .map_err(|error| error::PlatformError::Unknown(error.to_string()))?;
    Ok(row.fence)
}
