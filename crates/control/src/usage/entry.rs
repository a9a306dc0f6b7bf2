//! The service "usage-copies" of an entry.

use std::time;

use azuregap_core::settings;
use azuregap_kernel::service;
use azuregap_platform::table;
use azuregap_wire::control;
use futures::future;
use tokio::time::Instant;

use super::agent;
use super::copies;
use super::flush;
use super::windows;
use crate::directory;
use crate::mailbox;
use crate::process;
use crate::tasks;

/// How long an agent may take to say which records are durable.
const ASKING: time::Duration = time::Duration::from_secs(1);

/// Copies that one message carries at most.
const MESSAGE: usize = 2_000;

/// The service "usage-copies" of an entry; offers [`copies::Copies`].
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
        .needs([mailbox::Mailbox::NAME, "membership"])
        .start(move |registry| async move {
            let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
            let directory = registry.find::<directory::Directory>(directory::Directory::NAME)?;
            let copies = copies::Copies::default();
            registry.offer(copies::Copies::NAME, copies.clone());
            let table = table::Table::http(&platform.table, platform.timeout);
            let windows = windows::Windows::system(window);
            let mailbox = mailbox.as_ref().clone();
            let directory = directory.as_ref().clone();
            tasks.spawn(settle_on(copies.clone(), mailbox, directory));
            tasks.spawn(write_orphans(copies, table, process, windows));
            Ok(())
        })
        .stop(move |_| async move { running.abort() })
}

async fn settle_on(
    copies: copies::Copies,
    mailbox: mailbox::Mailbox,
    directory: directory::Directory,
) {
    loop {
        tokio::time::sleep(agent::FLUSH_EVERY).await;
        let agents = directory.load();
        let asked = copies.by_source().into_iter().filter_map(|((node, incarnation), records)| {
            let same =
                |agent: &&directory::Agent| agent.node == node && agent.incarnation == incarnation;
            let agent = agents.iter().find(same)?;
            Some(ask(&copies, &mailbox, agent.control.clone(), records))
        });
        future::join_all(asked).await;
        let lives = |node: &str, incarnation| {
            agents.iter().any(|agent| agent.node == node && agent.incarnation == incarnation)
        };
        copies.adopt(lives, Instant::now());
    }
}

async fn ask(
    copies: &copies::Copies,
    mailbox: &mailbox::Mailbox,
    address: String,
    mut records: Vec<control::UsageRecord>,
) {
    records.truncate(MESSAGE);
    let reply = mailbox.ask(&address, control::Body::Usage(records), ASKING).await;
    if let Ok(control::Message { body: control::Body::UsageDurable { ids }, .. }) = reply {
        copies.settle(&ids);
    }
}

async fn write_orphans(
    copies: copies::Copies,
    table: table::Table,
    process: process::Process,
    windows: windows::Windows,
) {
    let mut progress = flush::Progress::new(windows.number(Instant::now()));
    loop {
        let window = windows.number(Instant::now());
        let written = match flush::flush(copies.orphans(), &table, &process, &windows).await {
            Ok(()) => {
                let complete = copies.oldest().unwrap_or(window).min(window);
                progress.announce(&table, &process, complete).await
            }
            Err(error) => Err(error),
        };
        if let Err(error) = written {
            tracing::warn!(%error, kept = copies.kept(), "usage copies not written yet");
        }
        tokio::time::sleep(agent::FLUSH_EVERY).await;
    }
}
