//! The socket on which a process takes control messages, and the clients it asks others with.
//!
//! Every message carries the sender's configuration version. A message with a newer one is
//! published on [`Mailbox::newer_versions`], so that the configuration service fetches it.

use std::cell;
use std::collections;
use std::fmt;
use std::rc;
use std::sync;
use std::time;

use arc_swap::ArcSwap;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_kernel::error;
use azuregap_kernel::service;
use azuregap_platform::vms;
use azuregap_wire::control;
use azuregap_wire::socket;
use tokio::sync::watch;

use crate::configuration;
use crate::process;
use crate::snapshot;

/// Answers a message, or leaves it to the next handler.
type Handler = sync::Arc<dyn Fn(&control::Message) -> Option<control::Body> + Send + Sync>;

/// A configuration version that another process has.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewerVersion {
    /// The version.
    pub version: ids::Version,
    /// The process that has it.
    pub from: ids::NodeId,
    /// Where it takes control messages, if known.
    pub address: Option<String>,
}

struct Inner {
    process: process::Process,
    handlers: sync::RwLock<Vec<Handler>>,
    clients: sync::Mutex<collections::HashMap<String, sync::Arc<socket::Client>>>,
    snapshot: snapshot::Handle,
    unresolved: configuration::UnresolvedChanges,
    peers: sync::Arc<ArcSwap<Vec<vms::Vm>>>,
    heard: watch::Sender<NewerVersion>,
}

/// Asks other processes and dispatches what they ask; clones share one mailbox.
#[derive(Clone)]
pub struct Mailbox {
    inner: sync::Arc<Inner>,
}

impl fmt::Debug for Mailbox {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Mailbox").field("process", &self.inner.process).finish_non_exhaustive()
    }
}

impl Mailbox {
    /// Name in the registry.
    pub const NAME: &'static str = "mailbox";

    /// A mailbox of `process` without a socket; [`service()`] adds one.
    #[must_use]
    pub fn new(process: process::Process) -> Self {
        let inner = Inner {
            process,
            handlers: sync::RwLock::default(),
            clients: sync::Mutex::default(),
            snapshot: snapshot::Handle::default(),
            unresolved: configuration::UnresolvedChanges::default(),
            peers: sync::Arc::default(),
            heard: watch::Sender::default(),
        };
        Self { inner: sync::Arc::new(inner) }
    }

    /// Adds a handler; the first that gives a body answers. Handlers run on the socket's threads
    /// and must not block.
    pub fn add_handler(
        &self,
        handler: impl Fn(&control::Message) -> Option<control::Body> + Send + Sync + 'static,
    ) {
        let mut handlers =
            self.inner.handlers.write().unwrap_or_else(sync::PoisonError::into_inner);
        handlers.push(sync::Arc::new(handler));
    }

    /// Sends `body` to the process at `address` (`host:port`) and waits for its reply.
    ///
    /// # Errors
    ///
    /// [`socket::SocketError`] when the address is malformed or no readable reply came in time.
    pub async fn request(
        &self,
        address: &str,
        body: control::Body,
        timeout: time::Duration,
    ) -> Result<control::Message, socket::SocketError> {
        let client = self.client(address)?;
        let reply = client.ask(&self.message(body), timeout).await?;
        self.observe_version(&reply.from, Some(address), reply.version);
        Ok(reply)
    }

    /// Answers a message as a peer's would be answered over the socket.
    #[must_use]
    pub fn handle_message(&self, message: &control::Message) -> control::Message {
        let address = match &message.body {
            control::Body::Hello(peer) => Some(peer.control.as_str()),
            _ => None,
        };
        self.observe_version(&message.from, address, message.version);
        let handlers = {
            let all = self.inner.handlers.read().unwrap_or_else(sync::PoisonError::into_inner);
            all.clone()
        };
        let body = handlers.iter().find_map(|handler| handler(message));
        self.message(body.unwrap_or_else(unhandled))
    }

    /// Notes that the process `from` has configuration `version`; callers on other paths than
    /// this mailbox (answers of agents, requests of entries) report what they see here as well.
    pub fn observe_version(&self, from: &str, address: Option<&str>, version: ids::Version) {
        if version <= self.inner.snapshot.load().version {
            return;
        }
        let heard = NewerVersion {
            version,
            from: from.to_owned(),
            address: address.map(ToOwned::to_owned),
        };
        self.inner.heard.send_replace(heard);
    }

    /// Tells of versions newer than the one in force here.
    #[must_use]
    pub fn newer_versions(&self) -> watch::Receiver<NewerVersion> {
        self.inner.heard.subscribe()
    }

    /// The configuration in force at this process.
    #[must_use]
    pub fn snapshot(&self) -> snapshot::Handle {
        self.inner.snapshot.clone()
    }

    /// Changes of the configuration whose outcome this process does not know.
    #[must_use]
    pub fn unresolved_changes(&self) -> configuration::UnresolvedChanges {
        self.inner.unresolved.clone()
    }

    /// The VMs that were listed last.
    #[must_use]
    pub fn peers(&self) -> sync::Arc<Vec<vms::Vm>> {
        self.inner.peers.load_full()
    }

    /// Replaces the VMs that are listed.
    pub fn set_peers(&self, vms: Vec<vms::Vm>) {
        self.inner.peers.store(sync::Arc::new(vms));
    }

    /// What this process tells of itself.
    #[must_use]
    pub fn process(&self) -> &process::Process {
        &self.inner.process
    }

    /// Drops the clients of every address that `keep` refuses.
    pub fn retain_clients(&self, keep: impl Fn(&str) -> bool) {
        let mut clients = self.inner.clients.lock().unwrap_or_else(sync::PoisonError::into_inner);
        clients.retain(|address, _| keep(address));
    }

    fn client(&self, address: &str) -> Result<sync::Arc<socket::Client>, socket::SocketError> {
        let mut clients = self.inner.clients.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if let Some(client) = clients.get(address) {
            return Ok(client.clone());
        }
        let client = sync::Arc::new(socket::Client::dial(address)?);
        clients.insert(address.to_owned(), client.clone());
        Ok(client)
    }

    /// A message from this process.
    #[must_use]
    pub fn message(&self, body: control::Body) -> control::Message {
        self.inner.process.message(self.inner.snapshot.load().version, body)
    }
}

fn unhandled() -> control::Body {
    error_body(code::Code::MessageUnknown, "no service of this process takes this message")
}

/// A refusal of a message.
#[must_use]
pub fn error_body(code: code::Code, message: impl Into<String>) -> control::Body {
    control::Body::Failed { code, message: message.into() }
}

/// The service "mailbox": listens at the control address of `process`.
#[must_use]
pub fn service(process: process::Process) -> service::Service {
    let server: rc::Rc<cell::RefCell<Option<socket::Server>>> = rc::Rc::default();
    let running = server.clone();
    service::Service::new(Mailbox::NAME)
        .start(move |registry| async move {
            let mailbox = Mailbox::new(process);
            *server.borrow_mut() = Some(listen(&mailbox)?);
            registry.offer(Mailbox::NAME, mailbox);
            Ok(())
        })
        .stop(move |_| async move {
            let server = running.borrow_mut().take();
            if let Some(server) = server {
                server.close().await;
            }
        })
}

fn listen(mailbox: &Mailbox) -> error::KernelResult<socket::Server> {
    let own = mailbox.clone();
    let answer = move |message: Result<control::Message, socket::Refused>| match message {
        Ok(message) => own.handle_message(&message),
        Err(refused) => own.message(error_body(refused.code, refused.reason)),
    };
    socket::Server::listen(&mailbox.process().peer.control, answer)
        .map_err(|error| error::KernelError::Failed(Mailbox::NAME.to_owned(), error.to_string()))
}
