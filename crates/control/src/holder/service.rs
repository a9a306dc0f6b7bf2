//! The service "holder".

use std::time;

use azuregap_coordination::lease;
use azuregap_core::settings;
use azuregap_kernel::service;
use azuregap_platform::table;
use tokio::sync::watch;

use super::handle;
use super::keep;
use crate::process;
use crate::tasks;

/// Name of the leader lease.
pub(super) const NAME: &str = "control";

/// Time limit for releasing the lease on shutdown.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Creates the service "holder", which provides a [`handle::LeaseHandle`]. It releases the lease on
/// shutdown, so that another entry can take over before the lease expires.
#[must_use]
pub fn service(
    process: process::Process,
    platform: &settings::PlatformSettings,
) -> service::Service {
    let platform = platform.clone();
    let (resign, resigned) = watch::channel(false);
    let tasks = tasks::Tasks::default();
    let running = tasks.clone();
    service::Service::new(handle::LeaseHandle::NAME)
        .start(move |registry| async move {
            let holder = handle::LeaseHandle::new(NAME, &process, lease::Timing::default());
            registry.register(handle::LeaseHandle::NAME, holder.clone());
            let table = table::Table::http(&platform.table, platform.timeout);
            tasks.spawn(keep::keep(holder, table, resigned));
            Ok(())
        })
        .stop(move |_| async move {
            resign.send_replace(true);
            running.join(RELEASE_TIMEOUT).await;
            running.abort();
        })
}
