//! Connections to backend servers.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt;
use tokio::net as tokio_net;
use tokio::task;
use tokio::time;

/// Time to open a connection before another backend server is tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time that an idle connection is kept if the backend server doesn't say.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// A connection is given up this long before the backend server would close it.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// Unacknowledged bytes, or silence after a probe, for which a connection is given up.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause before and between keep-alive probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle connections kept for each backend server.
const MOST_IDLE: usize = 24;

/// A connection on which one request at a time may be sent.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: http1::SendRequest<Full<Bytes>>,
    driver: task::AbortHandle,
    open: rc::Rc<cell::Cell<u32>>,
    /// Whether it served a request before.
    pub(super) used: bool,
    /// How long it had rested when it was taken.
    pub(super) rested: Duration,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
        self.open.set(self.open.get().saturating_sub(1));
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: time::Instant,
    until: time::Instant,
}

#[derive(Debug, Default)]
struct Server {
    idle: Vec<Idle>,
    open: rc::Rc<cell::Cell<u32>>,
}

/// Connections to all backend servers.
#[derive(Debug, Default)]
pub struct Pool {
    servers: cell::RefCell<collections::HashMap<net::SocketAddr, Server>>,
}

impl Pool {
    /// No connection yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Connections open to an address.
    #[must_use]
    pub fn open_count(&self, address: net::SocketAddr) -> u32 {
        self.servers.borrow().get(&address).map_or(0, |server| server.open.get())
    }

    /// Idle connections to an address.
    #[must_use]
    pub fn idle_count(&self, address: net::SocketAddr) -> usize {
        self.servers.borrow().get(&address).map_or(0, |server| server.idle.len())
    }

    /// Takes an idle connection that can still be used and rested for `most` at the longest.
    ///
    /// Those that rested for longer are closed.
    pub(super) fn take(&self, address: net::SocketAddr, most: Duration) -> Option<Connection> {
        let mut servers = self.servers.borrow_mut();
        let server = servers.get_mut(&address)?;
        let now = time::Instant::now();
        while let Some(mut idle) = server.idle.pop() {
            let rested = now.saturating_duration_since(idle.since);
            if now < idle.until && rested <= most && !idle.connection.sender.is_closed() {
                idle.connection.rested = rested;
                return Some(idle.connection);
            }
        }
        None
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// If the backend server can't be reached in time; nothing was sent to it.
    pub(super) async fn open_new(&self, address: net::SocketAddr) -> std::io::Result<Connection> {
        let open = self.servers.borrow_mut().entry(address).or_default().open.clone();
        let stream = time::timeout(CONNECT_TIMEOUT, tokio_net::TcpStream::connect(address))
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        configure(&stream, USER_TIMEOUT)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(64 * 1024)
            .handshake(rt::TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver = actix_rt::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(reason = error.to_string(), "a backend connection ended");
            }
        });
        open.set(open.get() + 1);
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
            open,
            used: false,
            rested: Duration::ZERO,
        })
    }

    /// Keeps a connection for the next request.
    pub(super) fn put(
        &self,
        address: net::SocketAddr,
        mut connection: Connection,
        idle: Option<Duration>,
    ) {
        connection.used = true;
        let life = idle.unwrap_or(IDLE_DEFAULT).saturating_sub(IDLE_MARGIN);
        if life.is_zero() || connection.sender.is_closed() {
            return;
        }
        let mut servers = self.servers.borrow_mut();
        let server = servers.entry(address).or_default();
        if server.idle.len() < MOST_IDLE {
            let since = time::Instant::now();
            server.idle.push(Idle { connection, since, until: since + life });
        }
    }

    /// Closes idle connections to an address, for example after its backend server left.
    pub fn forget(&self, address: net::SocketAddr) {
        self.servers.borrow_mut().remove(&address);
    }

    /// Closes idle connections that are too old to be used.
    pub fn prune(&self) {
        let now = time::Instant::now();
        let mut servers = self.servers.borrow_mut();
        for server in servers.values_mut() {
            server.idle.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        }
        servers.retain(|_, server| server.open.get() > 0 || !server.idle.is_empty());
    }
}

/// Makes silence on a connection show as an error, unacknowledged bytes after `silence`.
///
/// # Errors
///
/// If a socket option is refused.
pub(super) fn configure(stream: &tokio_net::TcpStream, silence: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    let probes = socket2::TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(silence))
}
