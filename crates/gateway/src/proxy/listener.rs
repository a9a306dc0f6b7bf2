//! Accepts callers' connections.

use std::convert;
use std::rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net;
use tokio::time;

use super::exchange;
use super::pool;
use crate::state;

/// Longest time for a head, and that a kept connection may be idle. It is longer than callers
/// reuse connections, so that they never meet a close.
const IDLE: Duration = Duration::from_secs(20);

/// Time for which a caller may acknowledge nothing; longer than callers wait between events.
const SILENCE: Duration = Duration::from_secs(8);

/// Pause after the listener failed, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Largest head of a request, in bytes.
const MOST_HEAD: usize = 32 * 1024;

/// Serves callers until the process stops and no connection is left to accept.
pub async fn serve(state: rc::Rc<state::State>, listener: net::TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(reason = error.to_string(), "a connection was not accepted");
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        actix_rt::spawn(connection(state.clone(), stream));
    }
}

async fn connection(state: rc::Rc<state::State>, stream: net::TcpStream) {
    if let Err(error) = pool::configure(&stream, SILENCE) {
        tracing::debug!(reason = error.to_string(), "a socket option was refused");
    }
    let shared = state.clone();
    let service = service::service_fn(move |request| {
        let state = shared.clone();
        async move { Ok::<_, convert::Infallible>(exchange::handle(state, request).await) }
    });
    let mut stopping = state.stopping.subscribe();
    // A connection that comes after the request to stop serves one request.
    let is_late = state.is_stopping();
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(IDLE)
        .max_buf_size(MOST_HEAD)
        .keep_alive(!is_late)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        _ = stopping.wait_for(|stopping| *stopping), if !is_late => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        tracing::debug!(reason = error.to_string(), "a caller's connection ended");
    }
}
