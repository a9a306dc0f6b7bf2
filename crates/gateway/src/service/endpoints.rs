//! Readiness and metrics.
//!
//! They are served on the thread that serves requests, so that a gateway whose thread is stuck
//! doesn't call itself ready.

use std::convert;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net;
use tokio::time;

use crate::state;

/// Longest time for a question, and that a kept connection may be idle.
const IDLE: Duration = Duration::from_secs(10);

/// Pause after the listener failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What a listener answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Whether new callers should be sent here.
    Readiness,
    /// All metrics as text.
    Metrics,
}

/// Serves one of the doors for ever.
pub async fn serve(state: rc::Rc<state::State>, listener: net::TcpListener, endpoint: Endpoint) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(connection(state.clone(), stream, endpoint));
            }
            Err(error) => {
                tracing::warn!(reason = error.to_string(), "a connection was not accepted");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(state: rc::Rc<state::State>, stream: net::TcpStream, endpoint: Endpoint) {
    let answer = service::service_fn(move |_: http::Request<body::Incoming>| {
        let response = answer(&state, endpoint);
        async move { Ok::<_, convert::Infallible>(response) }
    });
    let served = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(IDLE)
        .serve_connection(rt::TokioIo::new(stream), answer)
        .await;
    if let Err(error) = served {
        tracing::debug!(reason = error.to_string(), "a connection ended");
    }
}

fn answer(state: &state::State, endpoint: Endpoint) -> http::Response<Full<Bytes>> {
    let (status, text) = match endpoint {
        Endpoint::Readiness if state.is_ready() => (http::StatusCode::OK, "ready\n".to_owned()),
        Endpoint::Readiness => (http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        Endpoint::Metrics => (http::StatusCode::OK, state.metrics.encode()),
    };
    let mut response = http::Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
