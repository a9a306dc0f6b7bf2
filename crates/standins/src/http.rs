//! What the servers share.

use std::io;
use std::net;

use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::body;
use actix_web::dev;
use actix_web::web;
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

/// Serves `state` at `listen` until the handle stops it; gives the address it listens at.
///
/// # Errors
///
/// When `listen` cannot be bound.
pub(crate) fn serve<T: Clone + Send + 'static>(
    state: T,
    routes: fn(&mut web::ServiceConfig),
    listen: net::SocketAddr,
) -> io::Result<(dev::ServerHandle, net::SocketAddr)> {
    let app = move || App::new().app_data(web::Data::new(state.clone())).configure(routes);
    let server = HttpServer::new(app)
        .workers(1)
        .disable_signals()
        .shutdown_timeout(0)
        .h1_allow_half_closed(false)
        .bind(listen)?;
    let address = *server.addrs().first().ok_or(io::ErrorKind::AddrNotAvailable)?;
    let server = server.run();
    let handle = server.handle();
    tokio::spawn(server);
    Ok((handle, address))
}
