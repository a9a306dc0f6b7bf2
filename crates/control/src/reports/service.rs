//! The service "reports".

use std::time;

use azuregap_core::settings;
use azuregap_kernel::service;
use azuregap_platform::table;
use azuregap_platform::usage as intake;

use super::closer;
use crate::holder;
use crate::tasks;
use crate::usage;

/// Name of the service.
const NAME: &str = "reports";

/// Time between two rounds.
const ROUND_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// The service "reports" of an entry: closes windows of length `window` and reports them while
/// the entry holds the lease.
#[must_use]
pub fn service(platform: &settings::PlatformSettings, window: time::Duration) -> service::Service {
    let platform = platform.clone();
    let tasks = tasks::Tasks::default();
    let running = tasks.clone();
    service::Service::new(NAME)
        .depends_on([holder::LeaseHandle::NAME])
        .start(move |registry| async move {
            let holder = registry.find::<holder::LeaseHandle>(holder::LeaseHandle::NAME)?;
            let table = table::Table::http(&platform.table, platform.timeout);
            let intake = intake::UsageIntake::http(&platform.usage, platform.timeout);
            let windows = usage::Windows::system(window);
            let holder = holder.as_ref().clone();
            tasks.spawn(run(closer::WindowCloser::new(holder, table, intake, windows)));
            Ok(())
        })
        .stop(move |_| async move { running.abort() })
}

async fn run(mut closer: closer::WindowCloser) {
    loop {
        if let Err(error) = closer.run_round().await {
            tracing::warn!(%error, "usage reporting round failed; retrying in the next round");
        }
        tokio::time::sleep(ROUND_INTERVAL).await;
    }
}
