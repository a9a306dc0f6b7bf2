//! Bounds how long one connection holds the thread that all of them share.

use std::task;

use tokio::io::ReadBuf;

/// Most bytes that are read from a connection before the others get their turn. What they mean, and
/// so what it costs to parse them, is up to the peer.
const TURN_BYTES: usize = 64 << 10;

/// Bytes that were read from a connection in its turn.
#[derive(Debug, Default)]
pub(super) struct ReadTurn {
    bytes: usize,
}

impl ReadTurn {
    /// Reads by `poll`, unless the turn of the connection has ended.
    pub(super) fn poll<T>(
        &mut self,
        cx: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
        poll: impl FnOnce(&mut task::Context<'_>, &mut ReadBuf<'_>) -> task::Poll<T>,
    ) -> task::Poll<T> {
        if self.bytes >= TURN_BYTES {
            self.bytes = 0;
            cx.waker().wake_by_ref();
            return task::Poll::Pending;
        }
        let before = buffer.filled().len();
        let polled = poll(cx, buffer);
        if polled.is_pending() {
            self.bytes = 0;
        } else {
            self.bytes += buffer.filled().len() - before;
        }
        polled
    }
}
