//! Control messages over real nng sockets.

use std::time;

use azuregap_core::code;
use azuregap_wire::PROTOCOL;
use azuregap_wire::control;
use azuregap_wire::socket;
use googletest::prelude::*;

const WAIT: time::Duration = time::Duration::from_secs(5);

fn message(protocol: u16, body: control::Body) -> control::Message {
    control::Message { protocol, from: "a".into(), incarnation: 1, version: 7, body }
}

fn serve() -> (socket::Server, String) {
    let free = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let answer =
        |request: std::result::Result<control::Message, socket::RejectedMessage>| match request {
            Ok(request) => message(PROTOCOL, request.body),
            Err(socket::RejectedMessage { code, reason }) => {
                message(PROTOCOL, control::Body::Failed { code, message: reason })
            }
        };
    let server = socket::Server::listen(&free.to_string(), answer).unwrap();
    (server, free.to_string())
}

#[gtest]
#[tokio::test]
async fn a_message_is_answered() -> Result<()> {
    let (server, address) = serve();
    let client = socket::Client::dial(&address)?;
    let reply = client.request(&message(PROTOCOL, control::Body::DrainState), WAIT).await?;
    verify_that!(reply.body, eq(&control::Body::DrainState))?;
    server.close().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn another_protocol_version_is_refused_with_its_code() -> Result<()> {
    let (server, address) = serve();
    let client = socket::Client::dial(&address)?;
    let reply = client.request(&message(PROTOCOL + 1, control::Body::DrainState), WAIT).await?;
    let control::Body::Failed { code, .. } = reply.body else { panic!("taken: {reply:?}") };
    verify_that!(code, eq(code::Code::ProtocolMismatch))?;
    server.close().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_peer_that_is_not_there_is_reported_in_time() -> Result<()> {
    let client = socket::Client::dial("127.0.0.1:9")?;
    let short = time::Duration::from_millis(100);
    let reply = client.request(&message(PROTOCOL, control::Body::DrainState), short).await;
    verify_that!(matches!(reply, Err(socket::SocketError::NoReply(_))), eq(true))
}

#[gtest]
#[tokio::test]
async fn clients_are_dropped_without_blocking() -> Result<()> {
    let (server, address) = serve();
    for _ in 0..20 {
        let client = socket::Client::dial(&address)?;
        client.request(&message(PROTOCOL, control::Body::DrainState), WAIT).await?;
        drop(client);
    }
    server.close().await;
    Ok(())
}

#[gtest]
#[tokio::test]
async fn a_client_is_dropped_while_nobody_listens() -> Result<()> {
    for _ in 0..5 {
        let client = socket::Client::dial("127.0.0.1:9")?;
        let short = time::Duration::from_millis(20);
        let _ = client.request(&message(PROTOCOL, control::Body::DrainState), short).await;
    }
    Ok(())
}

#[gtest]
#[tokio::test]
async fn asking_is_given_up_midway_without_blocking() -> Result<()> {
    let (server, address) = serve();
    let client = socket::Client::dial(&address)?;
    for _ in 0..20 {
        let request = message(PROTOCOL, control::Body::DrainState);
        let _ =
            tokio::time::timeout(time::Duration::from_micros(50), client.request(&request, WAIT))
                .await;
    }
    server.close().await;
    Ok(())
}
