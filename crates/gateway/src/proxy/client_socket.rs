//! The socket of a client's connection.

use std::cell;
use std::pin;
use std::rc;

use futures::FutureExt as _;
use tokio::io;
use tokio::net;

/// The socket of a client's connection, which the connection shares with whoever looks for its end.
#[derive(Clone, Debug)]
pub(super) struct ClientSocket(rc::Rc<cell::RefCell<net::TcpStream>>);

impl ClientSocket {
    pub(super) fn new(stream: net::TcpStream) -> Self {
        Self(rc::Rc::new(cell::RefCell::new(stream)))
    }

    /// Polls the stream.
    pub(super) fn poll<T>(&self, poll: impl FnOnce(pin::Pin<&mut net::TcpStream>) -> T) -> T {
        poll(pin::Pin::new(&mut self.0.borrow_mut()))
    }

    /// Whether the client has closed the connection, or its sending side, whatever lies unread before
    /// that.
    pub(super) fn is_closed(&self) -> bool {
        let stream = self.0.borrow();
        let ready = stream.ready(io::Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(io::Ready::is_read_closed))
    }
}
