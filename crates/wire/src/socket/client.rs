//! Asks one peer over an nng socket.
//!
//! An nng operation handle must not be dropped while its callback runs: the callback may then
//! hold the last reference, and waits for itself. So the handles are kept and used again, and are
//! never dropped.

use std::fmt;
use std::mem;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::oneshot;

use super::error;
use crate::codec;
use crate::control;

/// Hands the bytes of a reply over, or drops the sender when there is none.
type Slot = sync::Arc<sync::Mutex<Option<oneshot::Sender<Vec<u8>>>>>;

/// One question at a time.
struct Call {
    context: nng::Context,
    aio: nng::Aio,
    slot: Slot,
    /// Whether no operation is under way.
    idle: sync::Arc<atomic::AtomicBool>,
}

/// Asks one peer; several questions may be under way.
pub struct Client {
    socket: nng::Socket,
    address: String,
    calls: sync::Mutex<Vec<Call>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Client {
    /// Prepares to ask the peer at `host:port`; nng connects and reconnects by itself.
    ///
    /// # Errors
    ///
    /// [`error::SocketError::Address`] when the address is malformed.
    pub fn dial(address: &str) -> Result<Self, error::SocketError> {
        let fail =
            |error: nng::Error| error::SocketError::Address(address.to_owned(), error.to_string());
        let socket = nng::Socket::new(nng::Protocol::Req0).map_err(fail)?;
        socket.dial_async(&format!("tcp://{address}")).map_err(fail)?;
        Ok(Self { socket, address: address.to_owned(), calls: sync::Mutex::default() })
    }

    /// Sends `message` and waits at most `timeout` for the reply.
    ///
    /// # Errors
    ///
    /// [`error::SocketError::NoReply`] when no reply came, [`error::SocketError::Codec`] when it
    /// was unreadable.
    pub async fn request(
        &self,
        message: &control::Message,
        timeout: time::Duration,
    ) -> Result<control::Message, error::SocketError> {
        let silent = || error::SocketError::NoReply(self.address.clone());
        let call = self.take().map_err(|_| silent())?;
        let asking = Asking { client: self, call: Some(call) };
        let reply = asking.send(message, timeout).map_err(|_| silent())?;
        let bytes = tokio::time::timeout(timeout, reply).await;
        drop(asking);
        let bytes = bytes.map_err(|_| silent())?.map_err(|_| silent())?;
        Ok(codec::decode(&bytes)?)
    }

    /// A call that is idle, or a new one.
    fn take(&self) -> Result<Call, nng::Error> {
        let mut calls = self.lock();
        let idle = calls.iter().position(|call| call.idle.load(atomic::Ordering::Acquire));
        match idle {
            Some(index) => Ok(calls.swap_remove(index)),
            None => Call::new(&self.socket),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Call>> {
        self.calls.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.socket.close();
        mem::forget(mem::take(&mut *self.lock()));
    }
}

impl Call {
    fn new(socket: &nng::Socket) -> Result<Self, nng::Error> {
        let context = nng::Context::new(socket)?;
        let (slot, idle) = (Slot::default(), sync::Arc::new(atomic::AtomicBool::new(true)));
        let (own, reply, done) = (context.clone(), slot.clone(), idle.clone());
        let aio = nng::Aio::new(move |aio, result| {
            let sent = matches!(result, nng::AioResult::Send(Ok(())));
            if sent && own.recv(&aio).is_ok() {
                return;
            }
            let waiting = reply.lock().unwrap_or_else(sync::PoisonError::into_inner).take();
            if let (nng::AioResult::Recv(Ok(message)), Some(waiting)) = (result, waiting) {
                let _ = waiting.send(message.to_vec());
            }
            done.store(true, atomic::Ordering::Release);
        })?;
        Ok(Self { context, aio, slot, idle })
    }
}

/// A question under way; its call goes back to the client when it is over or given up.
struct Asking<'a> {
    client: &'a Client,
    call: Option<Call>,
}

impl Asking<'_> {
    fn send(
        &self,
        message: &control::Message,
        timeout: time::Duration,
    ) -> Result<oneshot::Receiver<Vec<u8>>, nng::Error> {
        let call = self.call.as_ref().ok_or(nng::Error::Closed)?;
        let (waiting, reply) = oneshot::channel();
        *call.slot.lock().unwrap_or_else(sync::PoisonError::into_inner) = Some(waiting);
        call.aio.set_timeout(Some(timeout))?;
        call.idle.store(false, atomic::Ordering::Release);
        let sent = call.context.send(&call.aio, codec::encode(message).as_slice());
        if let Err((_, error)) = sent {
            call.idle.store(true, atomic::Ordering::Release);
            return Err(error);
        }
        Ok(reply)
    }
}

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        let Some(call) = self.call.take() else { return };
        if !call.idle.load(atomic::Ordering::Acquire) {
            call.aio.cancel();
        }
        self.client.lock().push(call);
    }
}
