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

/// The service "usage" of an agent; offers a [`recorder::Recorder`]. Windows have the length
/// `window`. On stop it tries once more to write what is pending.
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
    let left = recorder.clone();
    let (own, place) = (process.clone(), platform.clone());
    service::Service::new(recorder::Recorder::NAME)
        .needs([mailbox::Mailbox::NAME])
        .start(move |registry| async move {
            let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
            handle_messages(&mailbox, recorder.clone());
            registry.offer(recorder::Recorder::NAME, recorder.clone());
            let table = table::Table::http(&platform.table, platform.timeout);
            let windows = windows::Windows::system(window);
            let held = recorder.clone();
            let oldest = move || held.oldest();
            tasks.spawn(write::run_writer(recorder, oldest, table, process, windows));
            Ok(())
        })
        .stop(move |_| async move {
            running.abort();
            let table = table::Table::http(&place.table, place.timeout);
            let windows = windows::Windows::system(window);
            if let Err(error) = flush::flush(&left, &table, &own, &windows).await {
                tracing::warn!(%error, left = left.unflushed(), "usage not flushed at stop");
            }
        })
}

/// Answers entries that send their copies: which of them are durable. An unknown one is recorded.
pub fn handle_messages(mailbox: &mailbox::Mailbox, recorder: recorder::Recorder) {
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
