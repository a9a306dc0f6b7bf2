//! Messages between two mailboxes over real sockets, and what they learn from them.

use std::time;

use azuregap_control::mailbox;
use azuregap_control::process;
use azuregap_control::snapshot;
use azuregap_core::code;
use azuregap_core::intent;
use azuregap_kernel::kernel;
use azuregap_wire::control;
use googletest::prelude::*;

const WAIT: time::Duration = time::Duration::from_secs(5);

fn process(node: &str) -> process::Process {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    process::Process::new(node, "north", free, control::Role::Entry)
}

#[gtest]
#[actix_rt::test]
async fn a_reply_with_a_newer_version_is_heard_of() -> Result<()> {
    let ahead = process("ahead");
    let address = ahead.peer.control.clone();
    let mut kernel = kernel::Kernel::new().service(mailbox::service(ahead));
    kernel.start().await?;
    let served = kernel.registry().find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
    served.snapshot().advance(snapshot::Snapshot::new(7, intent::Intent::default()));
    let behind = mailbox::Mailbox::new(process("behind"));
    let reply = behind.ask(&address, control::Body::DrainState, WAIT).await?;
    let control::Body::Failed { code, .. } = reply.body else { panic!("taken: {reply:?}") };
    verify_that!(code, eq(code::Code::MessageUnknown))?;
    let heard = behind.heard().borrow().clone();
    let expected =
        mailbox::Heard { version: 7, from: "ahead".to_owned(), address: Some(address.clone()) };
    verify_that!(heard, eq(&expected))?;
    kernel.stop().await;
    Ok(())
}

#[gtest]
fn a_process_that_heard_nothing_claims_no_freshness() -> Result<()> {
    let handle = snapshot::Handle::default();
    verify_that!(handle.age(), eq(time::Duration::MAX))?;
    let old = tokio::time::Instant::now() - time::Duration::from_secs(60);
    handle.prove_fresh(old);
    verify_that!(handle.age(), ge(time::Duration::from_secs(60)))
}
