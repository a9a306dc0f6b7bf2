//! The service "usage" of an agent.

use std::time;

use azuregap_core::settings;
use azuregap_kernel::service;
use azuregap_platform::table;
use azuregap_wire::control;

use super::flush;
use super::recorder;
use super::windows;
use super::write;
use crate::mailbox;
use crate::process;
use crate::tasks;

/// Creates the service "usage" of an agent, which provides a [`recorder::Recorder`]. `window` is
/// the length of a usage window. On shutdown the service tries once more to write the pending
/// records.
#[must_use]
pub fn service(
    process: process::Process,
    platform: &settings::PlatformSettings,
    window: time::Duration,
) -> service::Service {
    let platform = platform.clone();
    let tasks = tasks::Tasks::default();
    let running = tasks.clone();
    let recorder = recorder::Recorder::default();
    let remaining = recorder.clone();
    let (own, settings) = (process.clone(), platform.clone());
    service::Service::new(recorder::Recorder::NAME)
        .depends_on([mailbox::Mailbox::NAME])
        .start(move |registry| async move {
            let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
            register_handler(&mailbox, recorder.clone());
            registry.register(recorder::Recorder::NAME, recorder.clone());
            let table = table::Table::http(&platform.table, platform.timeout);
            let windows = windows::Windows::system(window);
            let records = recorder.clone();
            let oldest = move || records.oldest();
            tasks.spawn(write::run_writer(recorder, oldest, table, process, windows));
            Ok(())
        })
        .stop(move |_| async move {
            running.abort();
            let table = table::Table::http(&settings.table, settings.timeout);
            let windows = windows::Windows::system(window);
            if let Err(error) = flush::flush(&remaining, &table, &own, &windows).await {
                tracing::warn!(%error, left = remaining.unflushed(), "usage flush failed at stop");
            }
        })
}

/// Registers the handler of copies sent by entries. It replies with the ids of durable records and
/// records those that are unknown.
pub fn register_handler(mailbox: &mailbox::Mailbox, recorder: recorder::Recorder) {
    mailbox.add_handler(move |message| match &message.body {
        control::Body::Usage(records) => {
            let durable = records.iter().filter(|record| recorder.is_durable(record.id));
            let ids = durable.map(|record| record.id).collect();
            records.iter().for_each(|record| recorder.record(record.clone()));
            Some(control::Body::UsageDurable { ids })
        }
        _ => None,
    });
}
