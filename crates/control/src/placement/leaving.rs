//! Marks backend servers as leaving in the configuration.

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_platform::error;
use azuregap_platform::table;

use crate::configuration;
use crate::holder;
use crate::keys;

/// Author recorded for the configuration change.
const AUTHOR: &str = "placement";

/// Marks `backends` as leaving.
pub(super) async fn add(
    source: &configuration::Source,
    holder: &holder::LeaseHandle,
    fence: ids::Fence,
    backends: &[ids::BackendId],
) -> error::PlatformResult<()> {
    change(source, holder, fence, |intent| {
        for backend in backends {
            if !intent.is_leaving(backend) {
                intent.leaving.push(backend.clone());
            }
        }
    })
    .await
}

/// Removes a backend server that no longer exists from the leaving list.
pub(super) async fn remove(
    source: &configuration::Source,
    holder: &holder::LeaseHandle,
    fence: ids::Fence,
    backend: &ids::BackendId,
) -> error::PlatformResult<()> {
    change(source, holder, fence, |intent| intent.leaving.retain(|name| name != backend)).await
}

/// Writes the edited intent under the lease. On a conflict with another change nothing is
/// written; the next round decides again.
async fn change(
    source: &configuration::Source,
    holder: &holder::LeaseHandle,
    fence: ids::Fence,
    edit: impl Fn(&mut intent::Intent),
) -> error::PlatformResult<()> {
    let change = source.begin();
    let stored = source.read().await?;
    let unreadable = |error: azuregap_core::settings::LoadError| {
        error::PlatformError::Refused(error.to_string())
    };
    let before = stored.value.intent().map_err(unreadable)?;
    let mut after = before.clone();
    edit(&mut after);
    if after == before {
        change.settle();
        return Ok(());
    }
    let row = configuration::ConfigurationRow {
        version: stored.value.version + 1,
        by: AUTHOR.to_owned(),
        text: keys::intent_json(&after)?,
        declared: stored.value.declared,
    };
    let transaction = table::Transaction::new()
        .check(configuration::CURRENT, stored.row)
        .put(configuration::CURRENT, keys::row_json(&row)?);
    let result = holder.commit(source.table(), fence, transaction).await;
    if !matches!(result, Err(error::PlatformError::Unknown(_))) {
        change.settle();
    }
    if let table::Commit::Applied(_) = result? {
        source.apply(&row)?;
    }
    Ok(())
}
