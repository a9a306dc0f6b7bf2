//! Client that sends requests to a peer over an nng socket.
//!
//! An nng operation handle ([`nng::Aio`]) must not be dropped while its callback runs: the
//! callback may then drop the last reference and deadlock waiting for itself. The handles are
//! therefore reused and never dropped.

use std::fmt;
use std::mem;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::sync::oneshot;

use super::error;
use crate::codec;
use crate::control;

/// Sender for the bytes of a reply; dropped if the request fails.
type ReplySender = sync::Arc<sync::Mutex<Option<oneshot::Sender<Vec<u8>>>>>;

/// Reusable nng context and operation handle for one request at a time.
struct Call {
    context: nng::Context,
    aio: nng::Aio,
    reply_sender: ReplySender,
    /// Whether no operation is in progress.
    idle: sync::Arc<atomic::AtomicBool>,
}

/// Client of a single peer; supports concurrent requests.
pub struct Client {
    socket: nng::Socket,
    address: String,
    /// Calls that are not assigned to a request.
    calls: sync::Mutex<Vec<Call>>,
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("address", &self.address).finish_non_exhaustive()
    }
}

impl Client {
    /// Creates a client of the peer at `host:port`; nng connects in the background and reconnects
    /// automatically.
    ///
    /// # Errors
    ///
    /// Returns [`error::SocketError::Address`] if the address is malformed.
    pub fn dial(address: &str) -> Result<Self, error::SocketError> {
        let fail =
            |error: nng::Error| error::SocketError::Address(address.to_owned(), error.to_string());
        let socket = nng::Socket::new(nng::Protocol::Req0).map_err(fail)?;
        socket.dial_async(&format!("tcp://{address}")).map_err(fail)?;
        Ok(Self { socket, address: address.to_owned(), calls: sync::Mutex::default() })
    }

    /// Sends `message` and waits up to `timeout` for the reply.
    ///
    /// # Errors
    ///
    /// Returns [`error::SocketError::NoReply`] if no reply arrived, and
    /// [`error::SocketError::Codec`] if the reply could not be decoded.
    pub async fn request(
        &self,
        message: &control::Message,
        timeout: time::Duration,
    ) -> Result<control::Message, error::SocketError> {
        let no_reply = || error::SocketError::NoReply(self.address.clone());
        let call = self.idle_call().map_err(|_| no_reply())?;
        let pending = PendingRequest { client: self, call: Some(call) };
        let reply = pending.send(message, timeout).map_err(|_| no_reply())?;
        let bytes = tokio::time::timeout(timeout, reply).await;
        drop(pending);
        let bytes = bytes.map_err(|_| no_reply())?.map_err(|_| no_reply())?;
        Ok(codec::decode(&bytes)?)
    }

    /// Takes an idle call, or creates a new one.
    fn idle_call(&self) -> Result<Call, nng::Error> {
        let mut calls = self.lock_calls();
        let idle = calls.iter().position(|call| call.idle.load(atomic::Ordering::Acquire));
        match idle {
            Some(index) => Ok(calls.swap_remove(index)),
            None => Call::new(&self.socket),
        }
    }

    fn lock_calls(&self) -> sync::MutexGuard<'_, Vec<Call>> {
        self.calls.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.socket.close();
        mem::forget(mem::take(&mut *self.lock_calls()));
    }
}

impl Call {
    fn new(socket: &nng::Socket) -> Result<Self, nng::Error> {
        let context = nng::Context::new(socket)?;
        let reply_sender = ReplySender::default();
        let idle = sync::Arc::new(atomic::AtomicBool::new(true));
        let (callback_context, callback_sender, callback_idle) =
            (context.clone(), reply_sender.clone(), idle.clone());
        let aio = nng::Aio::new(move |aio, result| {
            let sent = matches!(result, nng::AioResult::Send(Ok(())));
            if sent && callback_context.recv(&aio).is_ok() {
                return;
            }
            let sender =
                callback_sender.lock().unwrap_or_else(sync::PoisonError::into_inner).take();
            if let (nng::AioResult::Recv(Ok(message)), Some(sender)) = (result, sender) {
                let _ = sender.send(message.to_vec());
            }
            callback_idle.store(true, atomic::Ordering::Release);
        })?;
        Ok(Self { context, aio, reply_sender, idle })
    }
}

/// A request in progress; dropping it cancels the operation and returns the call to the client.
struct PendingRequest<'a> {
    client: &'a Client,
    call: Option<Call>,
}

impl PendingRequest<'_> {
    fn send(
        &self,
        message: &control::Message,
        timeout: time::Duration,
    ) -> Result<oneshot::Receiver<Vec<u8>>, nng::Error> {
        let call = self.call.as_ref().ok_or(nng::Error::Closed)?;
        let (sender, reply) = oneshot::channel();
        *call.reply_sender.lock().unwrap_or_else(sync::PoisonError::into_inner) = Some(sender);
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

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let Some(call) = self.call.take() else { return };
        if !call.idle.load(atomic::Ordering::Acquire) {
            call.aio.cancel();
        }
        self.client.lock_calls().push(call);
    }
}
