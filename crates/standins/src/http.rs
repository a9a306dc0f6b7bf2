//! What the servers share.

use std::io;
use std::net;

use actix_web::HttpResponse;
use actix_web::body;
use actix_web::dev;
use azuregap_platform::error;
use bytes::Bytes;
use futures::stream;
use serde::Serialize;

/// Largest body taken, in bytes.
pub(crate) const MAX_BODY: usize = 64 * 1024 * 1024;

/// An answer whose connection is dropped before its body.
pub(crate) fn dropped() -> HttpResponse {
    let cut: Result<Bytes, io::Error> = Err(io::ErrorKind::ConnectionReset.into());
    HttpResponse::Ok().body(body::BodyStream::new(stream::iter([cut])))
}

/// A platform's result as an answer: no usable answer at all when the outcome is unknown.
pub(crate) fn answer<T: Serialize>(result: error::PlatformResult<T>) -> HttpResponse {
    match result {
        Ok(reply) => HttpResponse::Ok().json(reply),
        Err(error::PlatformError::Refused(reason)) => HttpResponse::Conflict().body(reason),
        Err(error::PlatformError::Unknown(_)) => dropped(),
    }
}

/// Starts `server` and gives its handle and the first address it listens at.
pub(crate) fn start(
    server: dev::Server,
    addresses: &[net::SocketAddr],
) -> io::Result<(dev::ServerHandle, net::SocketAddr)> {
    let address = *addresses.first().ok_or(io::ErrorKind::AddrNotAvailable)?;
    let handle = server.handle();
    tokio::spawn(server);
    Ok((handle, address))
}
