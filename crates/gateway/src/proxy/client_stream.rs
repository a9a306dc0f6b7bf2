//! The stream of a client's connection, which records what the client does.

use std::io;
use std::pin;
use std::rc;
use std::task;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time;

use super::client;
use super::client_socket;
use super::read_turn;

/// Most bytes that are read at one time. One more would make the buffer of the connection grow.
const PART_BYTES: usize = (8 << 10) - 1;

/// Most bytes that are discarded at one time, before other connections get their turn.
const DISCARD_BYTES: usize = 8 << 10;

/// Parts of [`DISCARD_BYTES`] that are discarded in one turn.
const DISCARD_PARTS: usize = 16;

/// The stream of a client's connection.
#[derive(Debug)]
pub(super) struct ClientStream {
    socket: client_socket::ClientSocket,
    client: rc::Rc<client::Client>,
    turn: read_turn::ReadTurn,
    /// Ends the discarding of what the client still sends.
    linger: Option<pin::Pin<Box<time::Sleep>>>,
}

impl ClientStream {
    pub(super) fn new(socket: client_socket::ClientSocket, client: rc::Rc<client::Client>) -> Self {
        Self { socket, client, turn: read_turn::ReadTurn::default(), linger: None }
    }

    /// Discards what the client sends until it closes its side, or for some time. If it was left unread,
    /// the client would see a reset and lose the answer.
    fn poll_discard(&mut self, cx: &mut task::Context<'_>) -> task::Poll<()> {
        let linger =
            self.linger.get_or_insert_with(|| Box::pin(time::sleep(self.client.linger_time())));
        if linger.as_mut().poll(cx).is_ready() {
            return task::Poll::Ready(());
        }
        let mut bytes = [0; DISCARD_BYTES];
        for _ in 0..DISCARD_PARTS {
            let mut buffer = ReadBuf::new(&mut bytes);
            match self.socket.poll(|stream| stream.poll_read(cx, &mut buffer)) {
                task::Poll::Pending => return task::Poll::Pending,
                task::Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                task::Poll::Ready(_) => return task::Poll::Ready(()),
            }
        }
        cx.waker().wake_by_ref();
        task::Poll::Pending
    }
}

/// Bytes that a client has taken; `None` if it takes none.
fn taken(written: &task::Poll<io::Result<usize>>) -> Option<usize> {
    match written {
        task::Poll::Pending => None,
        task::Poll::Ready(written) => Some(written.as_ref().copied().unwrap_or_default()),
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let Self { socket, client, turn, .. } = self.get_mut();
        let length = buffer.remaining().min(PART_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let read = |cx: &mut task::Context<'_>, part: &mut ReadBuf<'_>| {
            socket.poll(|stream| stream.poll_read(cx, part))
        };
        let polled = turn.poll(cx, &mut part, read);
        let count = part.filled().len();
        buffer.advance(count);
        client.set_unread(count > 0);
        if count > 0 {
            client.record_read(count);
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = self.socket.poll(|stream| stream.poll_write(cx, bytes));
        self.client.record_write(taken(&polled));
        polled
    }

    fn poll_write_vectored(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = self.socket.poll(|stream| stream.poll_write_vectored(cx, parts));
        self.client.record_write(taken(&polled));
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.poll(|stream| stream.is_write_vectored())
    }

    fn poll_flush(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let polled = self.socket.poll(|stream| stream.poll_flush(cx));
        if polled.is_ready() {
            self.client.record_flush();
        }
        polled
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        if self.linger.is_none() {
            let polled = self.socket.poll(|stream| stream.poll_shutdown(cx));
            if !self.client.needs_linger() || !matches!(polled, task::Poll::Ready(Ok(()))) {
                return polled;
            }
        }
        let polled = self.poll_discard(cx);
        self.client.set_lingering(polled.is_pending());
        polled.map(Ok)
    }
}
