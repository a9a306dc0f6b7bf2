//! Pool of HTTP/1 connections to backend servers.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net as tokio_net;
use tokio::task;
use tokio::time;

use super::backend_stream;
use crate::decision::memory_budget;

/// Timeout for opening a connection; after it another backend server is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle timeout of a backend server that doesn't announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// An idle connection is discarded this long before the backend server would close it.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// How long sent data or keep-alive probes may stay unacknowledged before a connection fails.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time before the first keep-alive probe and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum idle connections kept for each backend server.
const MAX_IDLE_CONNECTIONS: usize = 24;

/// A connection that carries one request at a time.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
    pub(super) head: backend_stream::HeadBytes,
    driver: task::AbortHandle,
    _open_guard: OpenGuard,
    /// Whether it has served a request before.
    pub(super) reused: bool,
    /// How long it had been idle when it was taken from the pool.
    pub(super) idle_time: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Counts a connection that is open, or being opened, until it is dropped.
#[derive(Debug)]
struct OpenGuard(rc::Rc<cell::Cell<u32>>);

impl OpenGuard {
    fn new(count: rc::Rc<cell::Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    _memory: memory_budget::Reservation,
    idle_since: time::Instant,
    expires_at: time::Instant,
}

#[derive(Debug, Default)]
struct Server {
    idle: Vec<IdleConnection>,
    open_count: rc::Rc<cell::Cell<u32>>,
}

/// Connections to all backend servers, by address.
#[derive(Debug)]
pub struct Pool {
    servers: cell::RefCell<collections::HashMap<net::SocketAddr, Server>>,
    /// Connections beyond which no idle ones are kept.
    max_connections: usize,
    /// Memory of idle connections.
    budget: sync::Arc<sync::Mutex<memory_budget::MemoryBudget>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::with_limits(usize::MAX, sync::Arc::default())
    }
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty pool that keeps no idle connections beyond a total of `max_connections`, or
    /// without memory for them.
    #[must_use]
    pub fn with_limits(
        max_connections: usize,
        budget: sync::Arc<sync::Mutex<memory_budget::MemoryBudget>>,
    ) -> Self {
        Self { servers: cell::RefCell::default(), max_connections, budget }
    }

    /// Number of connections to all addresses that are open or being opened.
    #[must_use]
    pub fn total_count(&self) -> usize {
        self.servers.borrow().values().map(|server| server.open_count.get() as usize).sum()
    }

    /// Closes the connection that has been idle for longest if there are too many.
    fn make_room(&self) {
        if self.max_connections == usize::MAX || self.total_count() < self.max_connections {
            return;
        }
        let mut servers = self.servers.borrow_mut();
        let idle = servers.values_mut().filter(|server| !server.idle.is_empty());
        if let Some(server) = idle.min_by_key(|server| server.idle[0].idle_since) {
            server.idle.remove(0);
        }
    }

    /// Number of connections to an address that are open or being opened.
    #[must_use]
    pub fn open_count(&self, address: net::SocketAddr) -> u32 {
        self.servers.borrow().get(&address).map_or(0, |server| server.open_count.get())
    }

    /// Number of idle connections to an address.
    #[must_use]
    pub fn idle_count(&self, address: net::SocketAddr) -> usize {
        self.servers.borrow().get(&address).map_or(0, |server| server.idle.len())
    }

    /// Takes a usable connection that has been idle for at most `max_idle`.
    ///
    /// Unusable connections and those idle for longer are closed on the way.
    pub(super) fn take(&self, address: net::SocketAddr, max_idle: Duration) -> Option<Connection> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(&address)?;
        let now = time::Instant::now();
        while let Some(mut idle) = server.idle.pop() {
            let idle_time = now.saturating_duration_since(idle.idle_since);
            let is_usable = now < idle.expires_at
                && idle_time <= max_idle
                && !idle.connection.sender.is_closed();
            if is_usable {
                idle.connection.idle_time = idle_time;
                return Some(idle.connection);
            }
        }
        None
    }

    /// Opens a new connection.
    ///
    /// # Errors
    ///
    /// If the backend server can't be reached in time; no request was sent to it.
    pub(super) async fn connect(&self, address: net::SocketAddr) -> std::io::Result<Connection> {
        self.make_room();
        let open_count = self.servers.borrow_mut().entry(address).or_default().open_count.clone();
        let open_guard = OpenGuard::new(open_count);
        let stream = time::timeout(CONNECT_TIMEOUT, tokio_net::TcpStream::connect(address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        set_socket_options(&stream, USER_TIMEOUT)?;
        let head = backend_stream::HeadBytes::default();
        let stream = backend_stream::BackendStream::new(stream, head.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(64 * 1024)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(
                    reason = error.to_string(),
                    "backend connection closed with an error"
                );
            }
        });
        Ok(Connection {
            sender,
            head,
            driver: driver.abort_handle(),
            _open_guard: open_guard,
            reused: false,
            idle_time: Duration::ZERO,
        })
    }

    /// Returns a connection to the pool. `idle_timeout` is the one that the backend server
    /// announced, if any.
    pub(super) fn put(
        &self,
        address: net::SocketAddr,
        mut connection: Connection,
        idle_timeout: Option<Duration>,
    ) {
        connection.reused = true;
        let lifetime =
            idle_timeout.unwrap_or(DEFAULT_IDLE_TIMEOUT).saturating_sub(IDLE_TIMEOUT_MARGIN);
        if lifetime.is_zero() || connection.sender.is_closed() {
            return;
        }
        let holder = memory_budget::IDLE_BACKENDS;
        let mut memory = memory_budget::Reservation::new(self.budget.clone(), holder);
        // An idle connection displaces nobody.
        let outcome = memory.grow(memory_budget::IDLE_BACKEND_BYTES, |_| None);
        let mut servers = self.servers.borrow_mut();
        let server = servers.entry(address).or_default();
        let has_room = outcome == memory_budget::Outcome::Granted;
        if has_room && server.idle.len() < MAX_IDLE_CONNECTIONS {
            let idle_since = time::Instant::now();
            let expires_at = idle_since + lifetime;
            server.idle.push(IdleConnection {
                connection,
                _memory: memory,
                idle_since,
                expires_at,
            });
        }
    }

    /// Closes the idle connections to an address, for example after its backend server left.
    pub fn close_idle(&self, address: net::SocketAddr) {
        self.servers.borrow_mut().remove(&address);
    }

    /// Closes idle connections that have expired or that the backend server has closed.
    pub fn prune(&self) {
        let now = time::Instant::now();
        let mut servers = self.servers.borrow_mut();
        for server in servers.values_mut() {
            server.idle.retain(|idle| now < idle.expires_at && !idle.connection.sender.is_closed());
        }
        servers.retain(|_, server| server.open_count.get() > 0 || !server.idle.is_empty());
    }
}

/// Disables Nagle's algorithm, enables keep-alive probes and sets the TCP user timeout, so that a
/// silent peer shows up as an error.
///
/// # Errors
///
/// If a socket option can't be set.
pub(super) fn set_socket_options(
    stream: &tokio_net::TcpStream,
    user_timeout: Duration,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}
