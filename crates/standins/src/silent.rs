//! A TCP forwarder that can fall silent.

use std::io;
use std::net;

use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp;
use tokio::sync::watch;
use tokio::task;

/// Bytes carried at once.
const BUFFER: usize = 16 * 1024;

/// What of the traffic is swallowed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Silence {
    /// Connections numbered below this carry nothing more.
    below: u64,
    /// No connection carries anything.
    all: bool,
}

/// Forwards TCP connections on loopback to a target until told to fall silent.
///
/// A silent connection stays open and swallows what comes. Nothing tells either end.
#[derive(Debug)]
pub struct Proxy {
    address: net::SocketAddr,
    silence: watch::Sender<Silence>,
    opened: watch::Receiver<u64>,
    accepting: task::JoinHandle<()>,
}

impl Proxy {
    /// Listens at `listen` and forwards to `target`.
    ///
    /// # Errors
    ///
    /// When `listen` cannot be bound.
    pub async fn start(listen: net::SocketAddr, target: net::SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (silence, watch) = watch::channel(Silence::default());
        let (count, opened) = watch::channel(0);
        let accepting = tokio::spawn(accept(listener, target, watch, count));
        Ok(Self { address, silence, opened, accepting })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Connections taken so far.
    #[must_use]
    pub fn opened(&self) -> u64 {
        *self.opened.borrow()
    }

    /// Silences every connection that is open now; new ones work.
    pub fn silence_open(&self) {
        let below = self.opened();
        self.silence.send_modify(|silence| silence.below = below);
    }

    /// Silences every connection, also new ones, or lets those work again that were not silenced
    /// by [`Proxy::silence_open`]. What was swallowed stays lost.
    pub fn silence_all(&self, on: bool) {
        self.silence.send_modify(|silence| silence.all = on);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: net::SocketAddr,
    silence: watch::Receiver<Silence>,
    count: watch::Sender<u64>,
) {
    let mut connections = task::JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        let number = *count.borrow();
        count.send_replace(number + 1);
        connections.spawn(forward(near, target, silence.clone(), number));
        while connections.try_join_next().is_some() {}
    }
}

async fn forward(
    near: TcpStream,
    target: net::SocketAddr,
    silence: watch::Receiver<Silence>,
    number: u64,
) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = carry(near_read, far_write, silence.clone(), number);
    let back = carry(far_read, near_write, silence, number);
    tokio::join!(there, back);
}

/// Carries bytes one way; a silent connection swallows them, and its end as well.
async fn carry(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    silence: watch::Receiver<Silence>,
    number: u64,
) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        let Silence { below, all } = *silence.borrow();
        let silent = all || number < below;
        if read == 0 && silent {
            std::future::pending::<()>().await;
        }
        if read == 0 || (!silent && to.write_all(&buffer[..read]).await.is_err()) {
            return;
        }
    }
}
