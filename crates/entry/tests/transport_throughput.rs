//! Pieces of answers over the nng sockets of control messages, over one pooled HTTP call each, and
//! over one HTTP answer that goes on. Figures are printed; only what arrived is judged.

use std::net;
use std::time;

use actix_web::web;
use azuregap_wire::PROTOCOL;
use azuregap_wire::codec;
use azuregap_wire::control;
use azuregap_wire::frame;
use azuregap_wire::socket;
use bytes::Bytes;
use futures::StreamExt as _;
use futures::future;
use futures::stream;
use googletest::prelude::*;

/// Answers read at once.
const READERS: usize = 64;

/// Pieces of one answer.
const PIECES: usize = 200;

/// Bytes of a piece, about those of one event of a completion.
const PIECE: usize = 200;

const WAIT: time::Duration = time::Duration::from_secs(30);

fn piece(n: usize) -> frame::Frame {
    frame::Frame::Data { offset: (n * PIECE) as u64, bytes: vec![b'x'; PIECE].into() }
}

fn message(body: control::Body) -> control::Message {
    control::Message { protocol: PROTOCOL, from: "a".into(), incarnation: 1, version: 1, body }
}

/// Reads every answer with `read`, which gives the time that each piece took; prints the figures
/// and answers how many pieces came.
async fn measure<F: Future<Output = Vec<time::Duration>>>(
    way: &str,
    read: impl Fn() -> F,
) -> usize {
    let start = time::Instant::now();
    let read = future::join_all((0..READERS).map(|_| read())).await;
    let took = start.elapsed().as_secs_f64();
    let mut waits = read.concat();
    waits.sort();
    let at = |share: f64| waits[(waits.len() as f64 * share) as usize].as_secs_f64() * 1000.0;
    let rate = waits.len() as f64 / took;
    println!("{way}: {rate:.0} pieces/s, median {:.2} ms, 99 in 100 {:.2} ms", at(0.5), at(0.99));
    waits.len()
}

async fn over_nng() -> usize {
    let free = net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let text = Bytes::from(vec![b'x'; PIECE]);
    let answer = move |_| {
        let text = text.clone();
        message(control::Body::Configuration { version: 1, text, age_ms: 0 })
    };
    let server = socket::Server::listen(&free.to_string(), answer).unwrap();
    let client = socket::Client::dial(&free.to_string()).unwrap();
    let ask = message(control::Body::ConfigurationWanted);
    let count = measure("nng, one question a piece", async || {
        let mut waits = Vec::new();
        for _ in 0..PIECES {
            let start = time::Instant::now();
            client.ask(&ask, WAIT).await.unwrap();
            waits.push(start.elapsed());
        }
        waits
    });
    let count = count.await;
    server.close().await;
    count
}

fn serve_http() -> net::SocketAddr {
    let whole = |n: usize| stream::iter(0..n).map(|n| codec::write_frame(&piece(n)));
    let app = move || {
        // Without the yield a whole answer would be written at once.
        let slowly = move || {
            let pieces = whole(PIECES).then(async |piece| {
                tokio::task::yield_now().await;
                piece
            });
            future::ready(actix_web::HttpResponse::Ok().streaming(Box::pin(pieces)))
        };
        let one = move || future::ready(actix_web::HttpResponse::Ok().streaming(whole(1)));
        actix_web::App::new().route("/one", web::get().to(one)).route("/all", web::get().to(slowly))
    };
    let server = actix_web::HttpServer::new(app).workers(1).disable_signals();
    let server = server.bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

/// Reads one HTTP answer to its end; gives the wait for each of its frames.
async fn read(client: &awc::Client, url: &str) -> Vec<time::Duration> {
    let (mut start, mut waits) = (time::Instant::now(), Vec::new());
    let mut reader = codec::FrameReader::default();
    let mut response = client.get(url).send().await.unwrap();
    while let Some(bytes) = response.next().await {
        reader.push(&bytes.unwrap());
        while reader.next_frame().unwrap().is_some() {
            waits.push(start.elapsed());
            start = time::Instant::now();
        }
    }
    waits
}

#[gtest]
#[actix_rt::test]
async fn every_transport_delivers_all_chunks() -> Result<()> {
    let connector = awc::Connector::new().limit(0);
    let client = awc::Client::builder().connector(connector).disable_timeout().finish();
    let address = serve_http();
    let [one, all] = ["one", "all"].map(|path| format!("http://{address}/{path}"));
    let nng = over_nng().await;
    let calls = measure("HTTP, one call a piece", async || {
        let mut waits = Vec::new();
        for _ in 0..PIECES {
            waits.extend(read(&client, &one).await);
        }
        waits
    });
    let calls = calls.await;
    let streams =
        measure("HTTP, one answer that goes on", async || read(&client, &all).await).await;
    let expected = READERS * PIECES;
    verify_that!([nng, calls, streams], eq([expected, expected, expected]))
}
