//! Accepts client connections.

use std::convert;
use std::future;
use std::future::Future as _;
use std::rc;
use std::task;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt;
use tokio::net;
use tokio::time;

use super::client;
use super::client_body;
use super::client_socket;
use super::client_stream;
use super::guards;
use super::handler;
use super::held_bytes;
use super::pool;
use crate::decision::connection_limit;
use crate::decision::memory_budget;
use crate::state;

/// How long sent data may stay unacknowledged by a client; longer than clients wait between events.
const USER_TIMEOUT: Duration = Duration::from_secs(8);

/// Delay after a failed `accept`, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval at which a connection is checked for a client that does nothing.
const CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which the end of a connection is looked for behind requests that were sent ahead.
const END_INTERVAL: Duration = Duration::from_millis(150);

/// Bytes that a connection may read beyond the longest head, such as those of requests that are sent
/// ahead.
const READ_MARGIN: usize = 4 << 10;

/// Longest head while there is no configuration. Its requests are told to come back later. A crowd of
/// clients that stop before the end of such heads still fits into the memory of the smallest VM.
const UNCONFIGURED_HEAD_BYTES: usize = 32 << 10;

/// Bytes that wait in the socket of a client, as far as the system allows so few.
const SEND_BUFFER_BYTES: usize = 64 << 10;

/// Smallest buffer that a connection can have, in bytes.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Time for which a new connection waits until another one is closed for it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);

/// Accepts and serves client connections; never returns.
pub async fn serve(state: rc::Rc<state::State>, listener: net::TcpListener) {
    let max_connections = connection_limit::max_connections(&state.settings.resources);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(reason = error.to_string(), "failed to accept a connection");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if !make_room(&state, max_connections).await {
            client::record_limit(&state, Some("connections"), "");
            continue;
        }
        let client = state.clients.add(&state);
        let mut memory = client.reservation(&state);
        if held_bytes::grow(&state, &mut memory, memory_budget::SILENT_BYTES) {
            actix_rt::spawn(serve_connection(state.clone(), stream, client, memory));
        } else {
            client::record_limit(&state, Some("memory"), "");
        }
    }
}

/// Closes a connection for a new one if there are too many; returns whether there is room.
async fn make_room(state: &state::State, max_connections: usize) -> bool {
    let room = connection_limit::room(state.clients.count(), max_connections);
    if room == connection_limit::Room::Plenty {
        return true;
    }
    let closed = state.clients.wait_for_close();
    if let Some(victim) = state.clients.victim() {
        victim.evict(client::Eviction::Connection);
        drop(victim);
        if room == connection_limit::Room::None {
            // If none is closed in time, the new connection is.
            let _ = time::timeout(CLOSE_TIMEOUT, closed).await;
        }
    }
    state.clients.count() < max_connections
}

/// Longest head that a client may send now, in bytes.
fn head_limit(state: &state::State) -> usize {
    let configuration = state.configuration();
    configuration.map_or(UNCONFIGURED_HEAD_BYTES, |found| found.limits.max_head_bytes)
}

/// Waits until a client sends its first bytes: until then its connection needs no buffers. Returns whether
/// the connection goes on.
async fn wait_for_request(
    state: &state::State,
    stream: &net::TcpStream,
    client: &client::Client,
) -> bool {
    let mut byte = [0];
    let mut peeked = std::pin::pin!(stream.peek(&mut byte));
    loop {
        let limits = state.configuration().map(|c| c.limits).unwrap_or_default();
        let now = time::Instant::now();
        let deadline = client.deadline(&limits).map_or(now, |(deadline, _)| deadline);
        if now >= deadline {
            return false;
        }
        tokio::select! {
            biased;
            // An error shows when the connection is read.
            peeked = peeked.as_mut() => return !matches!(peeked, Ok(0)),
            eviction = client.wait_for_eviction() => {
                client::record_limit(state, Some(eviction.reason()), "");
                return false;
            }
            () = time::sleep_until(deadline.min(now + CHECK_INTERVAL)) => {}
        }
    }
}

/// Waits for the end of a connection whose client has sent requests ahead; it isn't read meanwhile. This
/// has to be polled after the connection, which may have begun to wait for an answer.
async fn end_behind_requests(
    client: &client::Client,
    socket: &client_socket::ClientSocket,
    end_check: &mut Option<std::pin::Pin<Box<time::Sleep>>>,
) {
    future::poll_fn(|cx| {
        while client.sends_ahead() {
            let check = end_check.get_or_insert_with(|| Box::pin(time::sleep(END_INTERVAL)));
            task::ready!(check.as_mut().poll(cx));
            *end_check = None;
            if socket.is_closed() {
                return task::Poll::Ready(());
            }
        }
        *end_check = None;
        task::Poll::Pending
    })
    .await;
}

async fn serve_connection(
    state: rc::Rc<state::State>,
    stream: net::TcpStream,
    client: rc::Rc<client::Client>,
    mut memory: memory_budget::Reservation,
) {
    if let Err(error) = pool::set_socket_options(&stream, USER_TIMEOUT) {
        tracing::debug!(reason = error.to_string(), "failed to set a socket option");
    }
    // With a larger one, a client that reads slowly would seem to read nothing for a long time.
    let buffer = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
    if let Err(error) = buffer {
        tracing::debug!(reason = error.to_string(), "failed to set the size of a send buffer");
    }
    if !wait_for_request(&state, &stream, &client).await {
        return;
    }
    if !held_bytes::grow(&state, &mut memory, memory_budget::BUFFER_BYTES) {
        // A client may send a request again that was not read.
        return client::record_limit(&state, Some("memory"), "");
    }
    let limits = || state.configuration().map(|c| c.limits).unwrap_or_default();
    let mut limits_changed = state.limits_changed.subscribe();
    let initial_limit = head_limit(&state);
    let max_head_bytes = initial_limit + READ_MARGIN;
    let (shared, used) = (state.clone(), guards::UsedConnection::new(&state));
    let (requester, socket) = (client.clone(), client_socket::ClientSocket::new(stream));
    let requester_socket = socket.clone();
    let service = service::service_fn(move |request| {
        used.record_request();
        let (state, client) = (shared.clone(), requester.clone());
        let has_left = requester_socket.is_closed();
        // A connection without a request holds no memory for one.
        Box::pin(async move {
            let response = handler::handle(state, client.clone(), request, has_left).await;
            let answer = |body| client_body::ClientBody::new(body, client);
            Ok::<_, convert::Infallible>(response.map(answer))
        })
    });
    let mut stopping = state.stopping.subscribe();
    // A connection accepted during shutdown serves a single request.
    let mut is_ending = state.is_stopping();
    let io = rt::TokioIo::new(client_stream::ClientStream::new(socket.clone(), client.clone()));
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes.max(MIN_BUFFER_BYTES))
        .max_header_size(max_head_bytes)
        .keep_alive(!is_ending)
        .serve_connection(io, service);
    let mut connection = std::pin::pin!(connection);
    let mut end_check = None;
    let served = loop {
        let now = time::Instant::now();
        let deadline = client.deadline(&limits());
        if let Some((_, reason)) = deadline.filter(|(deadline, _)| now >= *deadline) {
            // A connection that was idle for too long is nothing to look into.
            client::record_limit(&state, Some(reason).filter(|reason| *reason != "idle"), "");
            return;
        }
        let check_at = deadline
            .map_or(now + CHECK_INTERVAL, |(deadline, _)| deadline.min(now + CHECK_INTERVAL));
        tokio::select! {
            biased;
            served = connection.as_mut() => break served,
            () = end_behind_requests(&client, &socket, &mut end_check) => {
                return tracing::debug!("the client has left behind requests that it sent ahead");
            }
            eviction = client.wait_for_eviction() => {
                // A request may have begun, or been refused, since the connection was chosen.
                if !client.may_close() {
                    client.keep(&state);
                    continue;
                }
                client::record_limit(&state, Some(eviction.reason()), "");
                return;
            }
            _ = stopping.wait_for(|stopping| *stopping), if !is_ending => {
                is_ending = true;
                connection.as_mut().graceful_shutdown();
            }
            // The limit of a connection can't be changed, so requests under another one need a new
            // connection.
            _ = limits_changed.changed(), if !is_ending => {
                if head_limit(&state) != initial_limit {
                    is_ending = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
            () = time::sleep_until(check_at) => {}
        }
    };
    if let Err(error) = served {
        tracing::debug!(reason = error.to_string(), "client connection closed with an error");
    }
}
