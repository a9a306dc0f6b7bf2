//! Server that replies to peers over an nng socket.
//!
//! The socket is closed only when no operation is in progress and none will be started. Operation
//! handles ([`nng::Aio`]) are never dropped: a running callback may drop the last reference to its
//! own handle and deadlock waiting for itself.

use std::fmt;
use std::mem;
use std::sync;
use std::sync::atomic;
use std::time;

use azuregap_core::code;

use super::error;
use crate::codec;
use crate::control;

/// Number of messages that are processed concurrently.
const WORKERS: usize = 8;

/// Maximum time that closing waits for replies in progress.
const CLOSE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Interval at which closing checks for replies in progress.
const CLOSE_POLL_INTERVAL: time::Duration = time::Duration::from_millis(2);

/// Computes the reply to a message or to bytes that are not a valid message.
type Handler = dyn Fn(Result<control::Message, RejectedMessage>) -> control::Message + Send + Sync;

/// The reason why received bytes were rejected as a message.
#[derive(Clone, Debug)]
pub struct RejectedMessage {
    /// Result code.
    pub code: code::Code,
    /// Details of the error.
    pub reason: String,
}

/// nng operation handle that processes one message at a time.
struct Worker {
    aio: nng::Aio,
    /// Whether the worker has stopped receiving.
    idle: sync::Arc<atomic::AtomicBool>,
}

/// Replies to peers until it is closed.
pub struct Server {
    socket: nng::Socket,
    workers: Vec<Worker>,
    closing: sync::Arc<atomic::AtomicBool>,
}

impl fmt::Debug for Server {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Server").finish_non_exhaustive()
    }
}

impl Server {
    /// Listens on `host:port`. `handler` runs on nng's threads and must not block for long.
    ///
    /// # Errors
    ///
    /// Returns [`error::SocketError::Address`] if the address cannot be bound.
    pub fn listen(
        address: &str,
        handler: impl Fn(Result<control::Message, RejectedMessage>) -> control::Message
        + Send
        + Sync
        + 'static,
    ) -> Result<Self, error::SocketError> {
        let fail =
            |error: nng::Error| error::SocketError::Address(address.to_owned(), error.to_string());
        let socket = nng::Socket::new(nng::Protocol::Rep0).map_err(fail)?;
        socket.listen(&format!("tcp://{address}")).map_err(fail)?;
        let handler: sync::Arc<Handler> = sync::Arc::new(handler);
        let closing = sync::Arc::new(atomic::AtomicBool::new(false));
        let mut workers = Vec::with_capacity(WORKERS);
        for _ in 0..WORKERS {
            workers.push(start_worker(&socket, &handler, &closing).map_err(fail)?);
        }
        Ok(Self { socket, workers, closing })
    }

    /// Waits for replies in progress, up to `CLOSE_TIMEOUT`, and stops listening.
    pub async fn close(self) {
        self.closing.store(true, atomic::Ordering::Release);
        let deadline = tokio::time::Instant::now() + CLOSE_TIMEOUT;
        while !self.is_idle() && tokio::time::Instant::now() < deadline {
            self.workers.iter().for_each(|worker| worker.aio.cancel());
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
        if self.is_idle() {
            self.socket.close();
        }
        mem::forget(self);
    }

    fn is_idle(&self) -> bool {
        self.workers.iter().all(|worker| worker.idle.load(atomic::Ordering::Acquire))
    }
}

/// A server that is dropped without being closed keeps listening until the process exits.
impl Drop for Server {
    fn drop(&mut self) {
        mem::forget(self.socket.clone());
        mem::forget(mem::take(&mut self.workers));
    }
}

/// Starts a worker.
fn start_worker(
    socket: &nng::Socket,
    handler: &sync::Arc<Handler>,
    closing: &sync::Arc<atomic::AtomicBool>,
) -> Result<Worker, nng::Error> {
    let context = nng::Context::new(socket)?;
    let idle = sync::Arc::new(atomic::AtomicBool::new(false));
    let (callback_context, handler, closing, callback_idle) =
        (context.clone(), handler.clone(), closing.clone(), idle.clone());
    let aio = nng::Aio::new(move |aio, result| {
        if let nng::AioResult::Recv(Ok(message)) = result {
            let reply = codec::encode(&handler(decode_message(&message)));
            if callback_context.send(&aio, reply.as_slice()).is_ok() {
                return;
            }
        }
        let is_closing = closing.load(atomic::Ordering::Acquire);
        if is_closing || callback_context.recv(&aio).is_err() {
            callback_idle.store(true, atomic::Ordering::Release);
        }
    })?;
    context.recv(&aio)?;
    Ok(Worker { aio, idle })
}

/// Decodes a message and checks its protocol version.
fn decode_message(bytes: &[u8]) -> Result<control::Message, RejectedMessage> {
    let message: control::Message = codec::decode(bytes)
        .map_err(|error| RejectedMessage { code: error.code(), reason: error.to_string() })?;
    if message.protocol != crate::PROTOCOL {
        let reason = format!("protocol {} here, {} there", crate::PROTOCOL, message.protocol);
        return Err(RejectedMessage { code: code::Code::ProtocolMismatch, reason });
    }
    Ok(message)
}
