//! nng request and reply sockets for control messages.
//!
//! nng runs its own threads; callbacks hand results over to the caller's runtime.

use std::sync;
use std::time;

use azuregap_core::code;
use quick_error::quick_error;
use tokio::sync::oneshot;

use crate::codec;
use crate::control;

quick_error! {
    /// Why a control message got no reply.
    #[derive(Debug)]
    pub enum SocketError {
        /// The address cannot be used.
        Address(address: String, reason: String) {
            display("{}: cannot use '{}': {}", code::Code::PeerUnavailable.number(), address, reason)
        }
        /// No reply came in time.
        Silent(address: String) {
            display("{}: no reply from '{}'", code::Code::PeerUnavailable.number(), address)
        }
        /// The reply could not be read.
        Codec(error: codec::CodecError) {
            from()
            display("{}", error)
        }
    }
}

/// Replies handled at once by one [`Server`].
const REPLY_CONTEXTS: usize = 8;

/// Answers control messages.
#[derive(Debug)]
pub struct Server {
    socket: nng::Socket,
    workers: Vec<nng::Aio>,
}

impl Server {
    /// Listens at `host:port` and answers each message by `answer`, which runs on nng's threads
    /// and must not block for long.
    ///
    /// # Errors
    ///
    /// [`SocketError::Address`] when the address cannot be listened on.
    pub fn listen(
        address: impl AsRef<str>,
        answer: impl Fn(control::Message) -> control::Message + Send + Sync + 'static,
        refuse: impl Fn(code::Code, String) -> control::Message + Send + Sync + 'static,
    ) -> Result<Self, SocketError> {
        let address = address.as_ref();
        let fail = |error: nng::Error| SocketError::Address(address.to_owned(), error.to_string());
        let socket = nng::Socket::new(nng::Protocol::Rep0).map_err(fail)?;
        let answer = sync::Arc::new(answer);
        let refuse = sync::Arc::new(refuse);
        let mut workers = Vec::with_capacity(REPLY_CONTEXTS);
        for _ in 0..REPLY_CONTEXTS {
            let context = nng::Context::new(&socket).map_err(fail)?;
            let (answer, refuse, own) = (answer.clone(), refuse.clone(), context.clone());
            let worker = nng::Aio::new(move |aio, result| match result {
                nng::AioResult::Recv(Ok(message)) => {
                    let reply = match read_message(&message) {
                        Ok(message) => answer(message),
                        Err((code, reason)) => refuse(code, reason),
                    };
                    let _ = own.send(&aio, codec::encode(&reply).as_slice());
                }
                nng::AioResult::Send(Err((_, error))) | nng::AioResult::Recv(Err(error))
                    if is_final(error) => {}
                nng::AioResult::Send(_) | nng::AioResult::Recv(Err(_)) => {
                    let _ = own.recv(&aio);
                }
                nng::AioResult::Sleep(_) => {}
            })
            .map_err(fail)?;
            workers.push((worker, context));
        }
        socket.listen(&format!("tcp://{address}")).map_err(fail)?;
        for (worker, context) in &workers {
            context.recv(worker).map_err(fail)?;
        }
        Ok(Self { socket, workers: workers.into_iter().map(|(worker, _)| worker).collect() })
    }

    /// Stops listening.
    pub fn close(&self) {
        self.socket.close();
        self.workers.iter().for_each(settle);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.close();
    }
}

/// Ends what `aio` does and waits for its callback. An `Aio` whose last handle is dropped inside
/// its own callback waits for itself for ever, so every one is settled before it is dropped. The
/// socket or context must have been closed first, so that the callback starts nothing new.
fn settle(aio: &nng::Aio) {
    aio.cancel();
    aio.wait();
}

/// One request under way, settled however it ends.
struct Exchange {
    context: nng::Context,
    aio: nng::Aio,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.context.close();
        settle(&self.aio);
    }
}

/// Whether the socket was closed, so that another receive would fail at once, for ever.
const fn is_final(error: nng::Error) -> bool {
    matches!(error, nng::Error::Closed | nng::Error::Canceled)
}

/// Decodes a message and checks its protocol version.
fn read_message(bytes: &[u8]) -> Result<control::Message, (code::Code, String)> {
    let message: control::Message =
        codec::decode(bytes).map_err(|error| (error.code(), error.to_string()))?;
    if message.protocol != crate::PROTOCOL {
        let reason = format!("protocol {} here, {} there", crate::PROTOCOL, message.protocol);
        return Err((code::Code::ProtocolMismatch, reason));
    }
    Ok(message)
}

/// Sends control messages to one peer.
#[derive(Clone, Debug)]
pub struct Client {
    socket: nng::Socket,
    address: String,
}

impl Client {
    /// Prepares to talk to the peer at `host:port`; nng connects and reconnects by itself.
    ///
    /// # Errors
    ///
    /// [`SocketError::Address`] when the address is malformed.
    pub fn dial(address: impl AsRef<str>) -> Result<Self, SocketError> {
        let address = address.as_ref();
        let fail = |error: nng::Error| SocketError::Address(address.to_owned(), error.to_string());
        let socket = nng::Socket::new(nng::Protocol::Req0).map_err(fail)?;
        socket.dial_async(&format!("tcp://{address}")).map_err(fail)?;
        Ok(Self { socket, address: address.to_owned() })
    }

    /// Sends `message` and waits at most `timeout` for the reply.
    ///
    /// # Errors
    ///
    /// [`SocketError::Silent`] when no reply came, [`SocketError::Codec`] when it was unreadable.
    pub async fn ask(
        &self,
        message: &control::Message,
        timeout: time::Duration,
    ) -> Result<control::Message, SocketError> {
        let silent = || SocketError::Silent(self.address.clone());
        let (done, reply) = oneshot::channel();
        let done = sync::Mutex::new(Some(done));
        let context = nng::Context::new(&self.socket).map_err(|_| silent())?;
        let own = context.clone();
        let aio = nng::Aio::new(move |aio, result| match result {
            nng::AioResult::Send(Ok(())) => {
                let _ = own.recv(&aio);
            }
            nng::AioResult::Recv(Ok(message)) => {
                if let Some(done) = done.lock().ok().and_then(|mut slot| slot.take()) {
                    let _ = done.send(message.to_vec());
                }
            }
            _ => drop(done.lock().ok().and_then(|mut slot| slot.take())),
        })
        .map_err(|_| silent())?;
        let exchange = Exchange { context, aio };
        exchange.aio.set_timeout(Some(timeout)).map_err(|_| silent())?;
        let bytes = codec::encode(message);
        exchange.context.send(&exchange.aio, bytes.as_slice()).map_err(|_| silent())?;
        let bytes = tokio::time::timeout(timeout, reply).await;
        drop(exchange);
        let bytes = bytes.map_err(|_| silent())?.map_err(|_| silent())?;
        Ok(codec::decode(&bytes)?)
    }
}
