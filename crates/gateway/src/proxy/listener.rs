//! Accepts client connections.

use std::convert;
use std::rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net;
use tokio::time;

use super::guards;
use super::handler;
use super::pool;
use crate::state;

/// Timeout for reading a request head; also limits how long a keep-alive connection may be idle. It
/// is longer than clients reuse a connection, so that they never send on one that is being closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(20);

/// How long sent data may stay unacknowledged by a client; longer than clients wait between events.
const USER_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay after a failed `accept`, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Accepts and serves client connections; never returns.
pub async fn serve(state: rc::Rc<state::State>, listener: net::TcpListener) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(reason = error.to_string(), "failed to accept a connection");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        actix_rt::spawn(serve_connection(state.clone(), stream));
    }
}

async fn serve_connection(state: rc::Rc<state::State>, stream: net::TcpStream) {
    if let Err(error) = pool::set_socket_options(&stream, USER_TIMEOUT) {
        tracing::debug!(reason = error.to_string(), "failed to set a socket option");
    }
    let (shared, used) = (state.clone(), guards::UsedConnection::new(&state));
    let service = service::service_fn(move |request| {
        used.record_request();
        let state = shared.clone();
        async move { Ok::<_, convert::Infallible>(handler::handle(state, request).await) }
    });
    let mut stopping = state.stopping.subscribe();
    // A connection accepted during shutdown serves a single request.
    let is_stopping = state.is_stopping();
    let connection = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .keep_alive(!is_stopping)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let served = tokio::select! {
        served = connection.as_mut() => served,
        _ = stopping.wait_for(|stopping| *stopping), if !is_stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        tracing::debug!(reason = error.to_string(), "client connection closed with an error");
    }
}
