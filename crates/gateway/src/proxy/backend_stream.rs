//! The stream of a connection to a backend server, which bounds what comes before a response.

use std::cell;
use std::io;
use std::pin;
use std::rc;
use std::task;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net;

use super::read_turn;

/// Most bytes that are read until the head of a response is complete: its head, all interim ones
/// before it, and what came of the body with it. The connection reads up to 64 KiB at a time.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Bytes that were read since a request was sent, until the head of its response is complete.
#[derive(Clone, Debug, Default)]
pub(super) struct HeadBytes(rc::Rc<cell::Cell<Option<usize>>>);

impl HeadBytes {
    /// Begins to count, since a request is sent.
    pub(super) fn start(&self) {
        self.0.set(Some(0));
    }

    /// Ends, since the head is complete.
    pub(super) fn stop(&self) {
        self.0.set(None);
    }

    /// Counts bytes; returns whether there may be as many.
    fn add(&self, bytes: usize) -> bool {
        let sum = self.0.get().map(|sum| sum + bytes);
        self.0.set(sum);
        sum.is_none_or(|sum| sum <= MAX_HEAD_BYTES)
    }
}

/// The stream of a connection to a backend server.
#[derive(Debug)]
pub(super) struct BackendStream {
    stream: net::TcpStream,
    head: HeadBytes,
    turn: read_turn::ReadTurn,
}

impl BackendStream {
    pub(super) fn new(stream: net::TcpStream, head: HeadBytes) -> Self {
        Self { stream, head, turn: read_turn::ReadTurn::default() }
    }
}

impl AsyncRead for BackendStream {
    fn poll_read(
        self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let Self { stream, head, turn } = self.get_mut();
        let before = buffer.filled().len();
        let read = |cx: &mut task::Context<'_>, buffer: &mut ReadBuf<'_>| {
            pin::Pin::new(stream).poll_read(cx, buffer)
        };
        task::ready!(turn.poll(cx, buffer, read))?;
        if head.add(buffer.filled().len() - before) {
            return task::Poll::Ready(Ok(()));
        }
        let error = io::Error::new(io::ErrorKind::InvalidData, "the response does not begin");
        task::Poll::Ready(Err(error))
    }
}

impl AsyncWrite for BackendStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
