//! Answers peers over an nng socket.
//!
//! The socket is closed only when no operation is under way and none will be begun, and operation
//! handles are never dropped: a callback that still runs may hold the last reference to its own
//! handle, and would wait for itself.

use std::fmt;
use std::mem;
use std::sync;
use std::sync::atomic;
use std::time;

use azuregap_core::code;

use super::error;
use crate::codec;
use crate::control;

/// Messages answered at once.
const WORKERS: usize = 8;

/// How long closing waits for answers under way.
const CLOSING: time::Duration = time::Duration::from_secs(1);

/// Time between two looks whether answers are still under way.
const LOOK: time::Duration = time::Duration::from_millis(2);

/// Answers a message or refuses what is none.
type Answer = dyn Fn(Result<control::Message, RejectedMessage>) -> control::Message + Send + Sync;

/// Why bytes were not taken as a message.
#[derive(Clone, Debug)]
pub struct RejectedMessage {
    /// Numbered code.
    pub code: code::Code,
    /// What was seen.
    pub reason: String,
}

/// One message at a time.
struct Worker {
    aio: nng::Aio,
    idle: sync::Arc<atomic::AtomicBool>,
}

/// Answers peers until it is closed.
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
    /// Listens at `host:port`. `answer` runs on nng's threads and must not block for long.
    ///
    /// # Errors
    ///
    /// [`error::SocketError::Address`] when the address cannot be listened on.
    pub fn listen(
        address: &str,
        answer: impl Fn(Result<control::Message, RejectedMessage>) -> control::Message
        + Send
        + Sync
        + 'static,
    ) -> Result<Self, error::SocketError> {
        let fail =
            |error: nng::Error| error::SocketError::Address(address.to_owned(), error.to_string());
        let socket = nng::Socket::new(nng::Protocol::Rep0).map_err(fail)?;
        socket.listen(&format!("tcp://{address}")).map_err(fail)?;
        let answer: sync::Arc<Answer> = sync::Arc::new(answer);
        let closing = sync::Arc::new(atomic::AtomicBool::new(false));
        let mut workers = Vec::with_capacity(WORKERS);
        for _ in 0..WORKERS {
            workers.push(work(&socket, &answer, &closing).map_err(fail)?);
        }
        Ok(Self { socket, workers, closing })
    }

    /// Lets answers under way end, and stops listening.
    pub async fn close(self) {
        self.closing.store(true, atomic::Ordering::Release);
        let limit = tokio::time::Instant::now() + CLOSING;
        while !self.is_idle() && tokio::time::Instant::now() < limit {
            self.workers.iter().for_each(|worker| worker.aio.cancel());
            tokio::time::sleep(LOOK).await;
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

/// A server that is dropped without being closed goes on listening until the process ends.
impl Drop for Server {
    fn drop(&mut self) {
        mem::forget(self.socket.clone());
        mem::forget(mem::take(&mut self.workers));
    }
}

/// Starts one worker.
fn work(
    socket: &nng::Socket,
    answer: &sync::Arc<Answer>,
    closing: &sync::Arc<atomic::AtomicBool>,
) -> Result<Worker, nng::Error> {
    let context = nng::Context::new(socket)?;
    let idle = sync::Arc::new(atomic::AtomicBool::new(false));
    let (own, answer, closing, done) =
        (context.clone(), answer.clone(), closing.clone(), idle.clone());
    let aio = nng::Aio::new(move |aio, result| {
        if let nng::AioResult::Recv(Ok(message)) = result {
            let reply = codec::encode(&answer(read(&message)));
            if own.send(&aio, reply.as_slice()).is_ok() {
                return;
            }
        }
        let ends = closing.load(atomic::Ordering::Acquire);
        if ends || own.recv(&aio).is_err() {
            done.store(true, atomic::Ordering::Release);
        }
    })?;
    context.recv(&aio)?;
    Ok(Worker { aio, idle })
}

/// Decodes a message and checks its protocol version.
fn read(bytes: &[u8]) -> Result<control::Message, RejectedMessage> {
    let message: control::Message = codec::decode(bytes)
        .map_err(|error| RejectedMessage { code: error.code(), reason: error.to_string() })?;
    if message.protocol != crate::PROTOCOL {
        let reason = format!("protocol {} here, {} there", crate::PROTOCOL, message.protocol);
        return Err(RejectedMessage { code: code::Code::ProtocolMismatch, reason });
    }
    Ok(message)
}
