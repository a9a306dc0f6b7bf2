//! Control messages over real nng sockets.

use std::time;

use azuregap_core::code;
use azuregap_wire::PROTOCOL;
use azuregap_wire::control;
use azuregap_wire::socket;
use googletest::prelude::*;

const TIMEOUT: time::Duration = time::Duration::from_secs(5);

fn message(protocol: u16, body: control::Body) -> control::Message {
    control::Message { protocol, from: "a".into(), incarnation: 1, version: 7, body }
}

fn serve() -> (socket::Server, String) {
    let address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let handler =
        |request: std::result::Result<control::Message, socket::RejectedMessage>| match request {
            Ok(request) => message(PROTOCOL, request.body),
            Err(socket::RejectedMessage { code, reason }) => {
                message(PROTOCOL, control::Body::Failed { code, message: reason })
            }
        };
    let server = socket::Server::listen(&address.to_string(), handler).unwrap();
    (server, address.to_string())
}

#[gtest]
#[tokio::test]
async fn message_gets_a_reply() -> Result<()> {
    let (server, address) = serve();
    let client = socket::Client::dial(&address)?;
    let reply = client.request(&message(PROTOCOL, control::Body::DrainState), TIMEOUT).await?;
    verify_that!(reply.body, eq(&control::Body::DrainState))?;
    server.close().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn other_protocol_version_is_rejected_with_protocol_mismatch() -> Result<()> {
    let (server, address) = serve();
    let client = socket::Client::dial(&address)?;
    let reply = client.request(&message(PROTOCOL + 1, control::Body::DrainState), TIMEOUT).await?;
    let control::Body::Failed { code, .. } = reply.body else { panic!("accepted: {reply:?}") };
    verify_that!(code, eq(code::Code::ProtocolMismatch))?;
    server.close().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn unreachable_peer_is_reported_within_the_timeout() -> Result<()> {
    let client = socket::Client::dial("127.0.0.1:9")?;
    let timeout = time::Duration::from_millis(100);
    let reply = client.request(&message(PROTOCOL, control::Body::DrainState), timeout).await;
    verify_that!(matches!(reply, Err(socket::SocketError::NoReply(_))), eq(true))
}

#[gtest]
#[tokio::test]
async fn client_drop_after_a_reply_does_not_block() -> Result<()> {
    let (server, address) = serve();
    for _ in 0..20 {
        let client = socket::Client::dial(&address)?;
        client.request(&message(PROTOCOL, control::Body::DrainState), TIMEOUT).await?;
        drop(client);
    }
    server.close().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn client_drop_without_a_listener_does_not_block() -> Result<()> {
    for _ in 0..5 {
        let client = socket::Client::dial("127.0.0.1:9")?;
        let timeout = time::Duration::from_millis(20);
        let _ = client.request(&message(PROTOCOL, control::Body::DrainState), timeout).await;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn cancelled_request_does_not_block() -> Result<()> {
    let (server, address) = serve();
    let client = socket::Client::dial(&address)?;
    for _ in 0..20 {
        let request = message(PROTOCOL, control::Body::DrainState);
        let _ = tokio::time::timeout(
            time::Duration::from_micros(50),
            client.request(&request, TIMEOUT),
        )
        .await;
    }
    server.close().await;
    Ok(())
}
