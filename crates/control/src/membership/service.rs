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

/// Time between two rounds of greetings.
const ROUND: time::Duration = time::Duration::from_secs(1);

/// How long a greeting may go unanswered.
const GREETING: time::Duration = time::Duration::from_millis(700);

/// The service "membership"; offers a [`directory::Directory`]. An entry reads the list of VMs and
/// greets them; an agent only answers greetings.
#[must_use]
pub fn service(
    process: process::Process,
    platform: &settings::PlatformSettings,
) -> service::Service {
    let platform = platform.clone();
    let tasks = tasks::Tasks::default();
    let running = tasks.clone();
    service::Service::new("membership")
        .needs([mailbox::Mailbox::NAME])
        .start(move |registry| async move {
            let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
            let directory = directory::Directory::default();
            answer_greetings(&mailbox, process);
            registry.offer(directory::Directory::NAME, directory.clone());
            if mailbox.process().peer.role == control::Role::Entry {
                let vms = vms::Vms::http(&platform.vms, platform.timeout);
                tasks.spawn(keep(mailbox.as_ref().clone(), vms, directory));
            }
            Ok(())
        })
        .stop(move |_| async move { running.abort() })
}

fn answer_greetings(mailbox: &mailbox::Mailbox, process: process::Process) {
    mailbox.add_handler(move |message| match &message.body {
        control::Body::Hello(_) => {
            Some(control::Body::Greeted { peer: process.peer.clone(), known: Vec::new() })
        }
        _ => None,
    });
}

async fn keep(mailbox: mailbox::Mailbox, vms: vms::Vms, directory: directory::Directory) {
    let roster = rc::Rc::new(cell::RefCell::new(roster::Roster::default()));
    let mut list = vms::VmList::default();
    loop {
        match vms.list().await {
            Ok(newer) => {
                roster.borrow_mut().list(&newer);
                mailbox.set_peers(newer.vms.clone());
                list = newer;
            }
            Err(error) => tracing::warn!(%error, "VM list not read; the last one is kept"),
        }
        let greetings = list.vms.iter().map(|vm| greet(&mailbox, vm, &roster));
        future::join_all(greetings).await;
        roster.borrow_mut().expire(Instant::now());
        publish(&roster.borrow(), &mailbox, &directory);
        tokio::time::sleep(ROUND).await;
    }
}

fn publish(roster: &roster::Roster, mailbox: &mailbox::Mailbox, directory: &directory::Directory) {
    mailbox.retain_clients(|address| roster.knows(address));
    directory.replace(roster.agents(&mailbox.snapshot().load()));
}

async fn greet(mailbox: &mailbox::Mailbox, vm: &vms::Vm, roster: &cell::RefCell<roster::Roster>) {
    let own = mailbox.process();
    if vm.control == own.peer.control {
        return;
    }
    let hello = control::Body::Hello(own.peer.clone());
    let reply = mailbox.request(&vm.control, hello, GREETING).await;
    if let Ok(control::Message { body: control::Body::Greeted { peer, .. }, .. }) = reply {
        roster.borrow_mut().greeted(vm, peer, Instant::now());
    }
}
