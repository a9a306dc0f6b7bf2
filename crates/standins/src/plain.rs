//! A plain service that counts how often each call ran.

use std::collections;
use std::future;
use std::io;
use std::net;
use std::sync;
use std::time;

use actix_web::HttpRequest;
use actix_web::HttpResponse;
use actix_web::body;
use actix_web::dev;
use actix_web::http::StatusCode;
use actix_web::web;
use bytes::Bytes;
use futures::StreamExt as _;
use futures::stream;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use tokio::sync::watch;

use crate::faults;
use crate::http;

/// Header that names a call; without it the body does.
pub const CALL_ID: &str = "x-call-id";

/// Pieces in which a slow body is sent.
const PIECES: usize = 10;

/// Fault switches of a plain service; all are off by default.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlainFaults {
    /// How many connections are dropped before the call runs.
    pub drop_before: faults::Count,
    /// How many connections are dropped after the call ran and before its answer.
    pub drop_after: faults::Count,
    /// How many answers are cut in the middle of the body.
    pub cut_body: faults::Count,
    /// Time before the call runs, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: time::Duration,
    /// Time between the run and the answer, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "answer_delay_ms")]
    pub answer_delay: time::Duration,
    /// Time over which the body is spread, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "body_time_ms")]
    pub body_time: time::Duration,
    /// Status of the answers, in place of 200; the call runs all the same.
    pub status: Option<u16>,
    /// Calls wait until the switch is off and run then.
    pub freeze: bool,
}

/// Which calls ran how often.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PlainCounters {
    /// Runs in all.
    pub total: u64,
    /// Runs by the id of the call.
    pub runs: collections::BTreeMap<String, u64>,
}

/// What the service answers: the call as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Echo {
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Query, without the question mark.
    pub query: String,
    /// Headers by lower-case name.
    pub headers: collections::BTreeMap<String, String>,
    /// Body, bytes that are no text replaced.
    pub body: String,
    /// How often this call ran by now.
    pub runs: u64,
}

/// A plain service; clones share its state.
#[derive(Clone, Debug)]
pub struct Plain {
    counters: sync::Arc<sync::Mutex<PlainCounters>>,
    faults: sync::Arc<watch::Sender<PlainFaults>>,
}

impl Default for Plain {
    fn default() -> Self {
        let (faults, _) = watch::channel(PlainFaults::default());
        Self { counters: sync::Arc::default(), faults: sync::Arc::new(faults) }
    }
}

impl Plain {
    /// A service without faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the fault switches.
    pub fn set_faults(&self, faults: PlainFaults) {
        self.faults.send_replace(faults);
    }

    /// Which calls ran how often.
    ///
    /// # Panics
    ///
    /// When an earlier user of the counters panicked.
    #[must_use]
    pub fn counters(&self) -> PlainCounters {
        self.counters.lock().expect("no user of the counters panicked").clone()
    }

    /// Serves this service over HTTP at `listen`.
    ///
    /// # Errors
    ///
    /// When `listen` cannot be bound.
    pub fn serve(
        &self,
        listen: net::SocketAddr,
    ) -> io::Result<(dev::ServerHandle, net::SocketAddr)> {
        http::serve(self.clone(), routes, listen)
    }

    /// Counts one run of a call; answers how often it ran by now.
    fn run(&self, id: String) -> u64 {
        let mut counters = self.counters.lock().expect("no user of the counters panicked");
        counters.total += 1;
        let runs = counters.runs.entry(id).or_default();
        *runs += 1;
        *runs
    }

    fn strikes(&self, pick: impl FnOnce(&mut PlainFaults) -> &mut faults::Count) -> bool {
        let mut strikes = false;
        self.faults.send_modify(|faults| strikes = pick(faults).strike());
        strikes
    }

    /// The switches as they are when no freeze is on.
    async fn thawed(&self) -> PlainFaults {
        let mut watch = self.faults.subscribe();
        let thawed = watch.wait_for(|faults| !faults.freeze).await;
        thawed.map(|faults| faults.clone()).unwrap_or_default()
    }
}

/// Serves a new plain service over HTTP at `listen`.
///
/// # Errors
///
/// When `listen` cannot be bound.
pub fn serve(listen: net::SocketAddr) -> io::Result<(dev::ServerHandle, net::SocketAddr)> {
    Plain::new().serve(listen)
}

fn routes(config: &mut web::ServiceConfig) {
    config
        .app_data(web::PayloadConfig::new(http::MAX_BODY))
        .app_data(web::JsonConfig::default().limit(http::MAX_BODY))
        .route("/counters", web::get().to(counters))
        .route("/faults/plain", web::post().to(set_faults))
        .default_service(web::to(call));
}

type Shared = web::Data<Plain>;

async fn counters(plain: Shared) -> HttpResponse {
    HttpResponse::Ok().json(plain.counters())
}

async fn set_faults(plain: Shared, faults: web::Json<PlainFaults>) -> HttpResponse {
    plain.set_faults(faults.into_inner());
    HttpResponse::NoContent().finish()
}

async fn call(plain: Shared, request: HttpRequest, body: Bytes) -> HttpResponse {
    let faults = plain.thawed().await;
    tokio::time::sleep(faults.delay).await;
    if plain.strikes(|faults| &mut faults.drop_before) {
        return http::dropped();
    }
    let echo = echo(&request, &body, |id| plain.run(id));
    tokio::time::sleep(faults.answer_delay).await;
    if plain.strikes(|faults| &mut faults.drop_after) {
        return http::dropped();
    }
    let cut = plain.strikes(|faults| &mut faults.cut_body);
    answer(&faults, &echo, cut)
}

fn echo(request: &HttpRequest, body: &Bytes, run: impl FnOnce(String) -> u64) -> Echo {
    let body = String::from_utf8_lossy(body).into_owned();
    let headers: collections::BTreeMap<_, _> = request
        .headers()
        .iter()
        .map(|(name, value)| {
            (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
        })
        .collect();
    let id = headers.get(CALL_ID).cloned().unwrap_or_else(|| body.clone());
    Echo {
        method: request.method().to_string(),
        path: request.path().to_owned(),
        query: request.query_string().to_owned(),
        headers,
        body,
        runs: run(id),
    }
}

fn answer(faults: &PlainFaults, echo: &Echo, cut: bool) -> HttpResponse {
    let status = faults.status.and_then(|status| StatusCode::from_u16(status).ok());
    let mut response = HttpResponse::build(status.unwrap_or(StatusCode::OK));
    if !cut && faults.body_time.is_zero() {
        return response.json(echo);
    }
    let text = serde_json::to_vec(echo).unwrap_or_default();
    let size = text.len().div_ceil(PIECES).max(1);
    let pieces: Vec<_> = text.chunks(size).map(Bytes::copy_from_slice).map(Ok).collect();
    let pause = faults.body_time / u32::try_from(PIECES).unwrap_or(1);
    let pieces = stream::iter(pieces).then(move |piece| async move {
        tokio::time::sleep(pause).await;
        piece
    });
    let kept = if cut { PIECES / 2 } else { usize::MAX };
    let end = stream::once(future::ready(Err(io::Error::from(io::ErrorKind::ConnectionReset))));
    let body = pieces.take(kept).chain(end.take(usize::from(cut)));
    response.content_type("application/json").body(body::BodyStream::new(body.boxed_local()))
}
