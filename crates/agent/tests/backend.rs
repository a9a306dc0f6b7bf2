//! What the client of a backend server takes for an answer.

use azuregap_agent::backend;
use azuregap_agent::response;
use azuregap_wire::run;
use bytes::Bytes;
use googletest::prelude::*;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net;

fn request() -> run::RunRequest {
    run::RunRequest {
        protocol: azuregap_wire::PROTOCOL,
        id: 1,
        incarnation: 1,
        entry: "entry-1".into(),
        version: 1,
        team: "team".into(),
        class: "class".into(),
        tier: 0,
        route: "route".to_owned(),
        idempotent: true,
        cost: 1,
        deadline: std::time::Duration::from_secs(5),
        offset: 0,
        method: "GET".to_owned(),
        path: "/a".to_owned(),
        headers: Vec::new(),
        body: Bytes::new(),
    }
}

/// Runs a request at a backend server that answers with a status; returns whether there is an answer.
async fn has_answer(status: &str) -> bool {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let text = format!("HTTP/1.1 {status} Any\r\ncontent-length: 0\r\n\r\n");
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 4096];
        let _ = stream.read(&mut head).await;
        let _ = stream.write_all(text.as_bytes()).await;
    });
    let client = backend::BackendClient::new(format!("http://{address}"), false);
    let response = response::ResponseBuffer::new(1, 0);
    client.run(&request(), &response).await.is_none() && response.has_head()
}

#[gtest]
fn a_status_that_no_final_answer_has_is_no_answer() {
    // Guards against 103, 199, 600, 700 and 999, which callers got as whole answers.
    actix_rt::System::new().block_on(async {
        for status in ["000", "099", "101", "103", "199", "600", "700", "999"] {
            expect_that!(has_answer(status).await, eq(false), "{status}");
        }
        for status in ["200", "204", "302", "404", "429", "500", "599"] {
            expect_that!(has_answer(status).await, eq(true), "{status}");
        }
    });
}
