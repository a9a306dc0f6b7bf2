//! The service "membership".

use std::cell;
use std::rc;
use std::time;

use azuregap_core::settings;
use azuregap_kernel::service;
use azuregap_platform::vms;
use azuregap_wire::control;
use futures::future;
use tokio::time::Instant;

use super::roster;
use crate::directory;
use crate::mailbox;
use crate::process;
use crate::tasks;

/// Interval between rounds of greetings.
const GREETING_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Time limit for the reply to a greeting.
const GREETING_TIMEOUT: time::Duration = time::Duration::from_millis(700);

/// Creates the service "membership", which provides a [`directory::Directory`]. An entry reads the
/// list of VMs and greets them; an agent only replies to greetings.
#[must_use]
pub fn service(
    process: process::Process,
    platform: &settings::PlatformSettings,
) -> service::Service {
    let platform = platform.clone();
    let tasks = tasks::Tasks::default();
    let running = tasks.clone();
    service::Service::new("membership")
        .depends_on([mailbox::Mailbox::NAME])
        .start(move |registry| async move {
            let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
            let directory = directory::Directory::default();
            handle_greetings(&mailbox, process);
            registry.register(directory::Directory::NAME, directory.clone());
            if mailbox.process().peer.role == control::Role::Entry {
                let vms = vms::Vms::http(&platform.vms, platform.timeout);
                tasks.spawn(maintain_roster(mailbox.as_ref().clone(), vms, directory));
            }
            Ok(())
        })
        .stop(move |_| async move { running.abort() })
}

fn handle_greetings(mailbox: &mailbox::Mailbox, process: process::Process) {
    mailbox.add_handler(move |message| match &message.body {
        control::Body::Hello(_) => {
            Some(control::Body::Greeted { peer: process.peer.clone(), known: Vec::new() })
        }
        _ => None,
    });
}

async fn maintain_roster(
    mailbox: mailbox::Mailbox,
    vms: vms::Vms,
    directory: directory::Directory,
) {
    let roster = rc::Rc::new(cell::RefCell::new(roster::Roster::default()));
    let mut list = vms::VmList::default();
    loop {
        match vms.list().await {
            Ok(newer) => {
                roster.borrow_mut().update_from(&newer);
                mailbox.set_peers(newer.vms.clone());
                list = newer;
            }
            Err(error) => {
                tracing::warn!(%error, "failed to read the VM list; keeping the previous one");
            }
        }
        let greetings = list.vms.iter().map(|vm| greet(&mailbox, vm, &roster));
        future::join_all(greetings).await;
        roster.borrow_mut().expire(Instant::now());
        publish(&roster.borrow(), &mailbox, &directory);
        tokio::time::sleep(GREETING_INTERVAL).await;
    }
}

fn publish(roster: &roster::Roster, mailbox: &mailbox::Mailbox, directory: &directory::Directory) {
    mailbox.retain_clients(|address| roster.contains(address));
    directory.replace(roster.agents(&mailbox.snapshot().load()));
}

async fn greet(mailbox: &mailbox::Mailbox, vm: &vms::Vm, roster: &cell::RefCell<roster::Roster>) {
    let own = mailbox.process();
    if vm.control == own.peer.control {
        return;
    }
    let hello = control::Body::Hello(own.peer.clone());
    let reply = mailbox.request(&vm.control, hello, GREETING_TIMEOUT).await;
    if let Ok(control::Message { body: control::Body::Greeted { peer, .. }, .. }) = reply {
        roster.borrow_mut().record_reply(vm, peer, Instant::now());
    }
}
