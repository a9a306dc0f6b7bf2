//! HTTP endpoints for readiness checks and metrics.
//!
//! They run on the thread that serves requests, so that a gateway whose thread is blocked doesn't
//! report itself as ready.

use std::collections;
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
use tokio::task;
use tokio::time;

use crate::backend_limits;
use crate::decision::connection_limit;
use crate::state;

/// Timeout for reading a request head; also limits how long a keep-alive connection may be idle.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes that a connection may read ahead, and that may wait to be sent before more requests are read.
const MAX_BUFFER_BYTES: usize = 8 << 10;

/// Delay after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// Whether the load balancer should send new clients here.
    Readiness,
    /// All metrics as text.
    Metrics,
}

/// Serves one endpoint on a listener; never returns.
pub async fn serve(state: rc::Rc<state::State>, listener: net::TcpListener, endpoint: Endpoint) {
    let mut connections = collections::VecDeque::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.retain(|task: &task::JoinHandle<()>| !task.is_finished());
                if connections.len() >= connection_limit::ENDPOINT_CONNECTIONS
                    && let Some(oldest) = connections.pop_front()
                {
                    state.metrics.client_limits.with_label_values(&["endpoint"]).inc();
                    oldest.abort();
                    // The descriptor is free once the task has been dropped.
                    let _ = oldest.await;
                }
                let serving = serve_connection(state.clone(), stream, endpoint);
                connections.push_back(actix_rt::spawn(serving));
            }
            Err(error) => {
                tracing::warn!(reason = error.to_string(), "failed to accept a connection");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(state: rc::Rc<state::State>, stream: net::TcpStream, endpoint: Endpoint) {
    let service = service::service_fn(move |_: http::Request<body::Incoming>| {
        let response = respond(&state, endpoint);
        async move { Ok::<_, convert::Infallible>(response) }
    });
    let served = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_BUFFER_BYTES)
        .serve_connection(rt::TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        tracing::debug!(reason = error.to_string(), "connection closed with an error");
    }
}

fn respond(state: &state::State, endpoint: Endpoint) -> http::Response<Full<Bytes>> {
    let (status, text) = match endpoint {
        Endpoint::Readiness if state.is_ready() => (http::StatusCode::OK, "ready\n".to_owned()),
        Endpoint::Readiness => (http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        Endpoint::Metrics => {
            backend_limits::update_metrics(state);
            (http::StatusCode::OK, state.metrics.encode())
        }
    };
    let mut response = http::Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
