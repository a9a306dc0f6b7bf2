//! An HTTP client that never takes a cut answer for a whole one.
//!
//! The client library ends a body without an error when its connection is closed before the last
//! chunk or before the announced length. Here the end of a connection is an error to whoever still
//! reads from it, so a body ends without an error only where its framing says so. A body without
//! any framing, which ends with its connection, cannot be told whole and is an error as well.

use std::io;
use std::pin;
use std::task;

use actix_rt::net;
use actix_service::ServiceExt as _;
use actix_tls::connect;
use awc::http::Uri;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// A TCP stream whose end is an error.
#[derive(Debug)]
pub struct StrictStream {
    inner: net::TcpStream,
}

/// A client that reports cut answers, follows no redirects and sets no deadline of its own.
///
/// A redirect would send the request a second time.
#[must_use]
pub fn client() -> awc::Client {
    let tcp = connect::Connector::default().service();
    let strict = tcp.map(|connection: connect::Connection<Uri, net::TcpStream>| {
        let (inner, uri) = connection.into_parts();
        connect::Connection::new(uri, StrictStream { inner })
    });
    let connector = awc::Connector::new().connector(strict).limit(0);
    awc::Client::builder().connector(connector).disable_redirects().disable_timeout().finish()
}

impl AsyncRead for StrictStream {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let result = task::ready!(pin::Pin::new(&mut self.inner).poll_read(context, buffer));
        if result.is_ok() && has_room && buffer.filled().len() == before {
            return task::Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        task::Poll::Ready(result)
    }
}

impl AsyncWrite for StrictStream {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}

impl net::ActixStream for StrictStream {
    fn poll_read_ready(
        &self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<net::Ready>> {
        net::ActixStream::poll_read_ready(&self.inner, context)
    }

    fn poll_write_ready(
        &self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<net::Ready>> {
        net::ActixStream::poll_write_ready(&self.inner, context)
    }
}
