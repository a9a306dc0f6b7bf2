//! Clients that send requests ahead and leave.

mod support;

use std::net;
use std::time::Duration;

use googletest::prelude::*;
use support::loopback::*;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::time;

/// Time that a backend server takes for an answer, or for the rest of one.
const WORK: Duration = Duration::from_secs(4);

/// Time in which the end of a client is noticed.
const NOTICE: Duration = Duration::from_millis(500);

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaving {
    /// It closes the connection.
    Fin,
    /// It resets the connection.
    Rst,
    /// It closes its sending side.
    HalfClose,
}

fn slow(text: &str) -> Reply {
    Reply { delay: WORK, ..keep_open(text) }
}

fn head(path: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: h\r\nx-id: 1\r\ncontent-length: 0\r\n\r\n")
}

/// Sends requests at once, waits until the first of them runs, and leaves; returns the connection if it is
/// still open.
async fn visit(
    address: net::SocketAddr,
    backend: &Backend,
    requests: &str,
    leaving: Leaving,
) -> Option<tokio_net::TcpStream> {
    let mut stream = tokio_net::TcpStream::connect(address).await.expect("a connection");
    stream.write_all(requests.as_bytes()).await.expect("the requests");
    let started = time::Instant::now();
    while backend.requests.borrow().is_empty() && started.elapsed() < WORK {
        time::sleep(Duration::from_millis(10)).await;
    }
    match leaving {
        Leaving::Fin => None,
        Leaving::Rst => {
            socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
            None
        }
        Leaving::HalfClose => {
            stream.shutdown().await.expect("a half-closed connection");
            Some(stream)
        }
    }
}

/// Guards against work for clients that have left, whose end is hidden behind requests sent ahead.
#[gtest]
fn requests_whose_client_has_left_end_and_those_that_it_sent_ahead_are_not_sent() {
    run(async {
        for leaving in [Leaving::Fin, Leaving::Rst, Leaving::HalfClose] {
            for path in ["/again/a", "/once/a", "/stream/a"] {
                let backend = backend(vec![slow(RESPONSE)]).await;
                let (_, address) = gateway(&[&backend]).await;
                let requests = head(path).repeat(3);
                let open = visit(address, &backend, &requests, leaving).await;
                let left = time::Instant::now();
                while backend.disconnects.get() == 0 && left.elapsed() < NOTICE {
                    time::sleep(Duration::from_millis(10)).await;
                }
                let case = format!("{leaving:?} {path}");

                expect_that!(backend.disconnects.get(), eq(1), "{case}");
                time::sleep(Duration::from_millis(300)).await;
                expect_that!(backend.requests.borrow().len(), eq(1), "{case}");
                drop(open);
            }
        }
    });
}

/// Guards against requests that were sent ahead by a client that stays and go unanswered.
#[gtest]
fn requests_that_were_sent_ahead_are_answered_one_after_the_other() {
    run(async {
        let reply = Reply { delay: Duration::from_millis(400), ..keep_open(RESPONSE) };
        let backend = backend(vec![reply]).await;
        let (_, address) = gateway(&[&backend]).await;
        let mut stream = tokio_net::TcpStream::connect(address).await.expect("a connection");
        stream.write_all(head("/again/a").repeat(3).as_bytes()).await.expect("the requests");
        let mut answers = Vec::new();
        let mut bytes = [0; 4_096];
        while String::from_utf8_lossy(&answers).matches("hello").count() < 3 {
            let count = time::timeout(WORK, stream.read(&mut bytes)).await.expect("an answer");
            answers.extend_from_slice(&bytes[..count.expect("an open connection")]);
        }
        expect_that!(backend.requests.borrow().len(), eq(3));
    });
}

/// Guards against a request that is sent although its client had left before it came to be read.
#[gtest]
fn a_request_that_comes_with_the_end_of_its_connection_is_not_sent() {
    run(async {
        let backend = backend(vec![keep_open(RESPONSE)]).await;
        let (_, address) = gateway(&[&backend]).await;
        let mut stream = tokio_net::TcpStream::connect(address).await.expect("a connection");
        stream.write_all(head("/once/a").as_bytes()).await.expect("a request");
        stream.shutdown().await.expect("a half-closed connection");
        let mut answer = String::new();
        // The answer says that it has not run, or the connection ends without one.
        let reading = time::timeout(WORK, stream.read_to_string(&mut answer)).await;
        expect_that!(reading.is_ok(), eq(true));
        expect_that!(answer.is_empty() || status(&answer) == "503", eq(true), "{answer}");
        expect_that!(backend.requests.borrow().len(), eq(0));
    });
}
