//! Messages between two mailboxes over real sockets, and the configuration versions they carry.

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
async fn newer_version_in_reply_is_published() -> Result<()> {
    let ahead = process("ahead");
    let address = ahead.peer.control.clone();
    let mut kernel = kernel::Kernel::new().service(mailbox::service(ahead));
    kernel.start().await?;
    let served = kernel.registry().find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
    served.snapshot().advance(snapshot::Snapshot::new(7, intent::Intent::default()));
    let behind = mailbox::Mailbox::new(process("behind"));
    let reply = behind.request(&address, control::Body::DrainState, WAIT).await?;
    let control::Body::Failed { code, .. } = reply.body else { panic!("taken: {reply:?}") };
    verify_that!(code, eq(code::Code::MessageUnknown))?;
    let newer = behind.newer_versions().borrow().clone();
    let expected = mailbox::NewerVersion {
        version: 7,
        from: "ahead".to_owned(),
        address: Some(address.clone()),
    };
    verify_that!(newer, eq(&expected))?;
    kernel.stop().await;
    Ok(())
}

#[gtest]
fn age_is_maximal_until_marked_fresh() -> Result<()> {
    let handle = snapshot::Handle::default();
    verify_that!(handle.age(), eq(time::Duration::MAX))?;
    let old = tokio::time::Instant::now() - time::Duration::from_secs(60);
    handle.mark_fresh(old);
    verify_that!(handle.age(), ge(time::Duration::from_secs(60)))
}

#[gtest]
#[test]
fn concurrent_requests_all_receive_replies() -> Result<()> {
    let server = process("server");
    let address = server.peer.control.clone();
    let served = actix_rt::System::new();
    let mut kernel = kernel::Kernel::new().service(mailbox::service(server));
    served.block_on(kernel.start())?;
    let client_thread = |_| {
        let address = address.clone();
        std::thread::spawn(move || {
            let mailbox = mailbox::Mailbox::new(process("client"));
            actix_rt::System::new().block_on(async move {
                let mut replies = 0;
                for _ in 0..2_000 {
                    let reply = mailbox.request(&address, control::Body::DrainState, WAIT).await;
                    replies += u32::from(reply.is_ok());
                }
                replies
            })
        })
    };
    let clients: Vec<_> = (0..24).map(client_thread).collect();
    let replies: u32 = clients.into_iter().map(|client_thread| client_thread.join().unwrap()).sum();
    verify_that!(replies, eq(24 * 2_000))?;
    served.block_on(kernel.stop());
    Ok(())
}

#[gtest]
#[actix_rt::test]
async fn cancelled_requests_do_not_block_later_ones() -> Result<()> {
    let server = process("server");
    let address = server.peer.control.clone();
    let mut kernel = kernel::Kernel::new().service(mailbox::service(server));
    kernel.start().await?;
    let client = mailbox::Mailbox::new(process("client"));
    client.request(&address, control::Body::DrainState, WAIT).await?;
    for _ in 0..500 {
        let request = client.request(&address, control::Body::DrainState, WAIT);
        drop(tokio::time::timeout(time::Duration::from_micros(100), request).await);
    }
    client.request(&address, control::Body::DrainState, WAIT).await?;
    kernel.stop().await;
    Ok(())
}
