//! Chunks of responses over three transports: the nng sockets of control messages, one pooled HTTP
//! call per chunk, and one streamed HTTP response. Rates and latencies are printed; only the number
//! of received chunks is checked.

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

/// Responses read concurrently.
const CONCURRENT_READERS: usize = 64;

/// Chunks of one response.
const RESPONSE_CHUNKS: usize = 200;

/// Bytes of a chunk, about the size of one event of a completion.
const CHUNK_BYTES: usize = 200;

const TIMEOUT: time::Duration = time::Duration::from_secs(30);

fn chunk(n: usize) -> frame::Frame {
    frame::Frame::Data { offset: (n * CHUNK_BYTES) as u64, bytes: vec![b'x'; CHUNK_BYTES].into() }
}

fn message(body: control::Body) -> control::Message {
    control::Message { protocol: PROTOCOL, from: "a".into(), incarnation: 1, version: 1, body }
}

/// Reads all responses with `read`, which returns the latency of each chunk. Prints the rate and
/// latencies, and returns the number of chunks.
async fn measure<F: Future<Output = Vec<time::Duration>>>(
    transport: &str,
    read: impl Fn() -> F,
) -> usize {
    let start = time::Instant::now();
    let read = future::join_all((0..CONCURRENT_READERS).map(|_| read())).await;
    let elapsed = start.elapsed().as_secs_f64();
    let mut latencies = read.concat();
    latencies.sort();
    let percentile =
        |share: f64| latencies[(latencies.len() as f64 * share) as usize].as_secs_f64() * 1000.0;
    let rate = latencies.len() as f64 / elapsed;
    println!(
        "{transport}: {rate:.0} chunks/s, median {:.2} ms, 99th percentile {:.2} ms",
        percentile(0.5),
        percentile(0.99)
    );
    latencies.len()
}

async fn over_nng() -> usize {
    let address = net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let text = Bytes::from(vec![b'x'; CHUNK_BYTES]);
    let respond = move |_| {
        let text = text.clone();
        message(control::Body::Configuration { version: 1, text, age_ms: 0 })
    };
    let server = socket::Server::listen(&address.to_string(), respond).unwrap();
    let client = socket::Client::dial(&address.to_string()).unwrap();
    let request = message(control::Body::ConfigurationWanted);
    let count = measure("nng, one request per chunk", async || {
        let mut latencies = Vec::new();
        for _ in 0..RESPONSE_CHUNKS {
            let start = time::Instant::now();
            client.request(&request, TIMEOUT).await.unwrap();
            latencies.push(start.elapsed());
        }
        latencies
    });
    let count = count.await;
    server.close().await;
    count
}

fn serve_http() -> net::SocketAddr {
    let chunk_stream = |n: usize| stream::iter(0..n).map(|n| codec::write_frame(&chunk(n)));
    let app = move || {
        // Without the yield, the whole response would be written at once.
        let streamed = move || {
            let chunks = chunk_stream(RESPONSE_CHUNKS).then(async |chunk| {
                tokio::task::yield_now().await;
                chunk
            });
            future::ready(actix_web::HttpResponse::Ok().streaming(Box::pin(chunks)))
        };
        let single =
            move || future::ready(actix_web::HttpResponse::Ok().streaming(chunk_stream(1)));
        actix_web::App::new()
            .route("/one", web::get().to(single))
            .route("/all", web::get().to(streamed))
    };
    let server = actix_web::HttpServer::new(app).workers(1).disable_signals();
    let server = server.bind("127.0.0.1:0").unwrap();
    let address = server.addrs()[0];
    actix_rt::spawn(server.run());
    address
}

/// Reads one HTTP response to its end and returns the latency of each of its frames.
async fn read(client: &awc::Client, url: &str) -> Vec<time::Duration> {
    let (mut start, mut latencies) = (time::Instant::now(), Vec::new());
    let mut reader = codec::FrameReader::default();
    let mut response = client.get(url).send().await.unwrap();
    while let Some(bytes) = response.next().await {
        reader.push(&bytes.unwrap());
        while reader.next_frame().unwrap().is_some() {
            latencies.push(start.elapsed());
            start = time::Instant::now();
        }
    }
    latencies
}

#[gtest]
#[actix_rt::test]
async fn every_transport_delivers_all_chunks() -> Result<()> {
    let connector = awc::Connector::new().limit(0);
    let client = awc::Client::builder().connector(connector).disable_timeout().finish();
    let address = serve_http();
    let [one, all] = ["one", "all"].map(|path| format!("http://{address}/{path}"));
    let nng = over_nng().await;
    let calls = measure("HTTP, one call per chunk", async || {
        let mut latencies = Vec::new();
        for _ in 0..RESPONSE_CHUNKS {
            latencies.extend(read(&client, &one).await);
        }
        latencies
    });
    let calls = calls.await;
    let streams = measure("HTTP, one streamed response", async || read(&client, &all).await).await;
    let expected = CONCURRENT_READERS * RESPONSE_CHUNKS;
    verify_that!([nng, calls, streams], eq([expected, expected, expected]))
}
