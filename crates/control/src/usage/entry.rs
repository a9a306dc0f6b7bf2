//! The service "usage-copies" of an entry.

use std::time;

use azuregap_core::settings;
use azuregap_kernel::service;
use azuregap_platform::table;

use super::copies;
use super::settle;
use super::windows;
use super::write;
use crate::directory;
use crate::mailbox;
use crate::peer_client;
use crate::process;
use crate::tasks;

/// Time limit for an agent to confirm durable records.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Creates the service "usage-copies" of an entry, which provides [`copies::Copies`].
#[must_use]
pub fn service(
    process: process::Process,
    platform: &settings::PlatformSettings,
    window: time::Duration,
) -> service::Service {
    let platform = platform.clone();
    let tasks = tasks::Tasks::default();
    let running = tasks.clone();
    service::Service::new(copies::Copies::NAME)
        .depends_on([mailbox::Mailbox::NAME, "membership"])
        .start(move |registry| async move {
            let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
            let directory = registry.find::<directory::Directory>(directory::Directory::NAME)?;
            let copies = copies::Copies::default();
            registry.register(copies::Copies::NAME, copies.clone());
            let peers = peer_client::PeerClient::mailbox(mailbox.as_ref().clone(), REPLY_TIMEOUT);
            tasks.spawn(settle::settle_copies(copies.clone(), peers, directory.as_ref().clone()));
            let table = table::Table::http(&platform.table, platform.timeout);
            let windows = windows::Windows::system(window);
            let orphans = copies.orphans().clone();
            let oldest = move || copies.oldest();
            tasks.spawn(write::run_writer(orphans, oldest, table, process, windows));
            Ok(())
        })
        .stop(move |_| async move { running.abort() })
}
