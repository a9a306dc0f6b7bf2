//! The service "configuration".

use std::time;

use azuregap_core::settings;
use azuregap_kernel::service;
use azuregap_platform::table;
use azuregap_platform::vms;
use azuregap_wire::control;

use super::follower;
use super::list;
use super::source;
use crate::mailbox;
use crate::peer_client;
use crate::process;
use crate::snapshot;
use crate::tasks;

/// Time limit for the reply of a peer.
const REPLY_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Creates the service "configuration", which provides a [`snapshot::Handle`]. On an agent it also
/// reads the VM list to find its peers; on an entry the service "membership" does that.
#[must_use]
pub fn service(
    process: process::Process,
    platform: &settings::PlatformSettings,
) -> service::Service {
    let platform = platform.clone();
    let tasks = tasks::Tasks::default();
    let running = tasks.clone();
    service::Service::new(snapshot::Handle::NAME)
        .depends_on([mailbox::Mailbox::NAME])
        .start(move |registry| async move {
            let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
            let mailbox = mailbox.as_ref().clone();
            let table = table::Table::http(&platform.table, platform.timeout);
            let source =
                source::Source::new(table, mailbox.snapshot(), mailbox.unresolved_changes());
            registry.register(snapshot::Handle::NAME, mailbox.snapshot());
            let client = peer_client::PeerClient::mailbox(mailbox.clone(), REPLY_TIMEOUT);
            if process.peer.role != control::Role::Entry {
                let vms = vms::Vms::http(&platform.vms, platform.timeout);
                tasks.spawn(list::poll_list(mailbox.clone(), vms));
            }
            tasks.spawn(follower::Follower::new(mailbox, source, client).run());
            Ok(())
        })
        .stop(move |_| async move { running.abort() })
}
