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

/// Name of the lease of the process in charge.
pub(super) const NAME: &str = "control";

/// How long giving up the lease may take at stop.
const RESIGNING: time::Duration = time::Duration::from_secs(3);

/// The service "holder"; offers a [`handle::LeaseHandle`]. At stop it gives the lease up, so that
/// another entry need not wait for the end of the term.
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
            registry.offer(handle::LeaseHandle::NAME, holder.clone());
            let table = table::Table::http(&platform.table, platform.timeout);
            tasks.spawn(keep::keep(holder, table, resigned));
            Ok(())
        })
        .stop(move |_| async move {
            resign.send_replace(true);
            running.join(RESIGNING).await;
            running.abort();
        })
}
