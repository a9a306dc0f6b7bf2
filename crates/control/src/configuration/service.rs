//! The service "configuration".

use std::time;

use azuregap_core::settings;
use azuregap_kernel::service;
use azuregap_platform::table;

use super::follower;
use super::source;
use crate::ask;
use crate::mailbox;
use crate::process;
use crate::snapshot;
use crate::tasks;

/// How long a peer may take to answer.
const ASKING: time::Duration = time::Duration::from_millis(700);

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
            let mailbox = mailbox.as_ref().clone();
            let table = table::Table::http(&platform.table, platform.timeout);
            let source = source::Source::new(table, mailbox.snapshot(), mailbox.doubt());
            registry.offer(snapshot::Handle::NAME, mailbox.snapshot());
            let ask = ask::Ask::mailbox(mailbox.clone(), ASKING);
            tasks.spawn(follower::Follower::new(mailbox, source, ask).run());
            Ok(())
        })
        .stop(move |_| async move { running.abort() })
}
