//! Drives the lease state machine with calls to the table service.

use azuregap_coordination::lease;
use azuregap_coordination::store;
use azuregap_platform::error;
use azuregap_platform::table;
use tokio::sync::watch;
use tokio::time;

use super::handle;

/// Acquires and renews the lease until `resign` becomes true and the lease is released.
pub async fn keep(
    holder: handle::LeaseHandle,
    table: table::Table,
    mut resign: watch::Receiver<bool>,
) {
    let mut event = lease::Event::Tick;
    loop {
        event = match holder.handle(event) {
            lease::Action::Read => read(&holder, &table).await,
            lease::Action::Write { version, row } => write(&holder, &table, version, row).await,
            lease::Action::Wait(until) => wait(until, &mut resign).await,
            lease::Action::Pending => lease::Event::ReadFailed,
            lease::Action::Resigned => return,
        };
    }
}

/// Waits until `until` or until resignation is requested.
async fn wait(until: time::Instant, resign: &mut watch::Receiver<bool>) -> lease::Event {
    if *resign.borrow() {
        time::sleep_until(until).await;
        return lease::Event::Resign;
    }
    let resigned = resign.wait_for(|resigned| *resigned);
    match time::timeout_at(until, resigned).await {
        Ok(Ok(_)) => lease::Event::Resign,
        Ok(Err(_)) => {
            time::sleep_until(until).await;
            lease::Event::Tick
        }
        Err(_) => lease::Event::Tick,
    }
}

async fn read(holder: &handle::LeaseHandle, table: &table::Table) -> lease::Event {
    match table.read(holder.key()).await {
        Ok(None) => lease::Event::ReadDone(store::VersionedRow::absent()),
        Ok(Some(row)) => match serde_json::from_value(row.value) {
            Ok(value) => lease::Event::ReadDone(store::VersionedRow::new(row.version, value)),
            Err(error) => {
                tracing::error!(%error, key = holder.key(), "failed to decode the lease row");
                lease::Event::ReadFailed
            }
        },
        Err(_) => lease::Event::ReadFailed,
    }
}

async fn write(
    holder: &handle::LeaseHandle,
    table: &table::Table,
    version: u64,
    row: lease::LeaseRow,
) -> lease::Event {
    let Ok(value) = serde_json::to_value(&row) else { return lease::Event::ReadFailed };
    let transaction = table::Transaction::new().check(holder.key(), version);
    let outcome = match table.commit(transaction.put(holder.key(), value)).await {
        Ok(table::Commit::Applied(versions)) => match versions.first() {
            Some(version) => store::WriteOutcome::Applied(*version),
            None => store::WriteOutcome::Unknown,
        },
        Ok(table::Commit::Conflict(_)) => store::WriteOutcome::Conflict,
        Err(error::PlatformError::Refused(_)) => store::WriteOutcome::Refused,
        Err(error::PlatformError::Unknown(_)) => store::WriteOutcome::Unknown,
    };
    lease::Event::WriteDone(outcome)
}
