//! The service "configuration".

use std::time;

use azuregap_core::settings;
use azuregap_kernel::service;
use azuregap_platform::table;

use super::source;
use crate::mailbox;
use crate::process;
use crate::snapshot;
use crate::tasks;

/// Time between two reads of the table service.
const READ_EVERY: time::Duration = time::Duration::from_millis(500);

/// The service "configuration"; offers a [`snapshot::Handle`].
#[must_use]
pub fn service(
    _process: process::Process,
    platform: &settings::PlatformSettings,
) -> service::Service {
    let platform = platform.clone();
    let tasks = tasks::Tasks::default();
    let running = tasks.clone();
    service::Service::new(snapshot::Handle::NAME)
        .needs([mailbox::Mailbox::NAME])
        .start(move |registry| async move {
            let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
            let table = table::Table::http(&platform.table, platform.timeout);
            let source = source::Source::new(table, mailbox.snapshot());
            registry.offer(snapshot::Handle::NAME, mailbox.snapshot());
            tasks.spawn(read_on(source));
            Ok(())
        })
        .stop(move |_| async move { running.abort() })
}

async fn read_on(source: source::Source) {
    loop {
        if let Err(error) = source.read().await {
            tracing::warn!(%error, "configuration not read");
        }
        tokio::time::sleep(READ_EVERY).await;
    }
}
