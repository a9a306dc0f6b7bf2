//! A gateway on the loopback interface with scripted backend servers.

use azuregap_gateway::configuration;
use azuregap_gateway::directory;
use azuregap_gateway::proxy;
use azuregap_gateway::settings;
use azuregap_gateway::state;
use std::cell;
use std::net;
use std::rc;
use std::time::Duration;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net as tokio_net;
use tokio::time;

pub const RESPONSE: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\ncontent-length: 5\r\n\r\nhello";
pub const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n";

/// What a backend server does with one request: it waits, writes `text`, and may close the
/// connection.
#[derive(Clone)]
pub struct Reply {
    pub text: String,
    pub closes: bool,
    pub delay: Duration,
}

pub fn keep_open(text: impl Into<String>) -> Reply {
    Reply { text: text.into(), closes: false, delay: Duration::ZERO }
}

pub fn close_after(text: impl Into<String>) -> Reply {
    Reply { text: text.into(), closes: true, delay: Duration::ZERO }
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A backend server that sends its replies in order and repeats the last one.
pub struct Backend {
    pub address: net::SocketAddr,
    /// Heads of the requests that it received.
    pub requests: rc::Rc<cell::RefCell<Vec<String>>>,
    /// Connections that the gateway closed while a request was in progress.
    pub disconnects: rc::Rc<cell::Cell<u32>>,
}

pub async fn backend(replies: Vec<Reply>) -> Backend {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let requests = rc::Rc::new(cell::RefCell::new(Vec::new()));
    let disconnects = rc::Rc::new(cell::Cell::new(0));
    let (received, closed) = (requests.clone(), disconnects.clone());
    actix_rt::spawn(async move {
        loop {
            let Ok((mut stream, _)) = listener.accept().await else { return };
            let (received, closed, replies) = (received.clone(), closed.clone(), replies.clone());
            actix_rt::spawn(async move {
                while let Some(head) = read_head(&mut stream).await {
                    let turn = received.borrow().len().min(replies.len() - 1);
                    received.borrow_mut().push(head);
                    let reply = &replies[turn];
                    let mut byte = [0];
                    if time::timeout(reply.delay, stream.read(&mut byte)).await.is_ok() {
                        closed.set(closed.get() + 1);
                        return;
                    }
                    if stream.write_all(reply.text.as_bytes()).await.is_err() || reply.closes {
                        return;
                    }
                }
            });
        }
    });
    Backend { address, requests, disconnects }
}

pub async fn read_head(stream: &mut tokio_net::TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(head).ok()
}

pub fn route(prefix: &str, kind: configuration::RouteKind, attempts: u32) -> configuration::Route {
    configuration::Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        services: [configuration::WeightedService { service: "s".to_owned(), weight: 1 }]
            .into_iter()
            .collect(),
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(200),
        tier: 1,
        max_attempts: attempts,
        public: true,
        homes: smallvec::SmallVec::new(),
    }
}

pub fn stream_kind(resumable: bool) -> configuration::RouteKind {
    configuration::RouteKind::Stream { resumable, max_gap: Duration::from_millis(100) }
}

/// Lets a gateway know backend servers whose processes started at a time.
pub fn register(state: &state::State, backends: &[&Backend], started_ms: u64) {
    for (at, backend) in backends.iter().enumerate() {
        state.directory.borrow_mut().update(directory::Backend {
            id: format!("b-{at}"),
            started_ms,
            service: "s".to_owned(),
            address: backend.address,
            zone: "a".to_owned(),
            slots: 4,
            cold_left: Some(Duration::ZERO),
            draining: false,
        });
    }
}

/// Starts a gateway that knows the backend servers; returns its state and its HTTP address.
pub async fn gateway(backends: &[&Backend]) -> (rc::Rc<state::State>, net::SocketAddr) {
    gateway_with(backends, |_| {}).await
}

/// Starts a gateway with changed settings.
pub async fn gateway_with(
    backends: &[&Backend],
    change: impl FnOnce(&mut settings::Settings),
) -> (rc::Rc<state::State>, net::SocketAddr) {
    let mut settings = super::settings("g-1");
    change(&mut settings);
    let state = super::state_with(settings, time::Instant::now());
    let configuration = configuration::Configuration::new(1)
        .with_route(route("/once/", configuration::RouteKind::NonIdempotent, 2))
        .with_route(route("/again/", configuration::RouteKind::Idempotent, 2))
        .with_route(route("/stream/", stream_kind(false), 1))
        .with_route(route("/resume/", stream_kind(true), 2))
        .with_route(configuration::Route {
            public: false,
            ..route("/keyed/", configuration::RouteKind::Idempotent, 1)
        })
        .with_route(configuration::Route {
            tier: 0,
            ..route("/urgent/", configuration::RouteKind::Idempotent, 1)
        })
        .with_team(
            configuration::Team { name: "t".to_owned(), tier: 0, homes: smallvec::SmallVec::new() },
            ["secret".to_owned()],
        );
    *state.configuration.borrow_mut() = Some(rc::Rc::new(configuration));
    state.freshness.borrow_mut().record_confirmation(state.clock.now());
    register(&state, backends, 1);
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    actix_rt::spawn(proxy::serve(state.clone(), listener));
    (state, address)
}

/// Sends a request and reads until the gateway closes the connection or stays silent for 900 ms.
pub async fn call(address: net::SocketAddr, path: &str, headers: &str) -> String {
    call_patiently(address, path, headers, Duration::from_millis(900)).await
}

/// Sends a request and reads until the gateway closes the connection or stays silent for so long.
pub async fn call_patiently(
    address: net::SocketAddr,
    path: &str,
    headers: &str,
    silence: Duration,
) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n{headers}\r\n");
    exchange(address, &head, silence).await
}

/// Uploads a body and reads until the gateway closes the connection or stays silent for 900 ms.
pub async fn upload(address: net::SocketAddr, path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    let head = format!("POST {path} HTTP/1.1\r\nhost: h\r\nx-id: 1\r\n{headers}");
    let request = format!("{head}content-length: {length}\r\n\r\n{body}");
    exchange(address, &request, Duration::from_millis(900)).await
}

/// Sends bytes and reads until the gateway closes the connection or stays silent for so long.
async fn exchange(address: net::SocketAddr, request: &str, silence: Duration) -> String {
    let mut stream = tokio_net::TcpStream::connect(address).await.expect("a connection");
    stream.write_all(request.as_bytes()).await.expect("a request");
    let mut response = Vec::new();
    let mut bytes = [0; 4096];
    while let Ok(Ok(count)) = time::timeout(silence, stream.read(&mut bytes)).await {
        if count == 0 {
            response.extend_from_slice(b"<closed>");
            break;
        }
        response.extend_from_slice(&bytes[..count]);
    }
    String::from_utf8(response).expect("text")
}

pub fn status(response: &str) -> &str {
    response.split(' ').nth(1).unwrap_or("none")
}

pub fn run<F: Future<Output = ()>>(test: F) {
    actix_rt::System::new().block_on(test);
}
