//! Control messages: the socket that receives them and the clients that send them.
//!
//! Every message carries the sender's configuration version. Versions newer than the active one are
//! published on [`Mailbox::newer_versions`], so that the configuration service fetches them.

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

/// Returns the reply to a message, or `None` to pass it to the next handler.
type Handler = sync::Arc<dyn Fn(&control::Message) -> Option<control::Body> + Send + Sync>;

/// A configuration version of another process that is newer than the local one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewerVersion {
    /// Configuration version.
    pub version: ids::Version,
    /// Node that has the version.
    pub from: ids::NodeId,
    /// Control address of the node, if known.
    pub address: Option<String>,
}

struct Inner {
    process: process::Process,
    handlers: sync::RwLock<Vec<Handler>>,
    clients: sync::Mutex<collections::HashMap<String, sync::Arc<socket::Client>>>,
    snapshot: snapshot::Handle,
    unresolved: configuration::UnresolvedChanges,
    peers: sync::Arc<ArcSwap<Vec<vms::Vm>>>,
    newer: watch::Sender<NewerVersion>,
}

/// Sends control messages and dispatches received ones to handlers. Clones share one mailbox.
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
    /// Registry name.
    pub const NAME: &'static str = "mailbox";

    /// Creates a mailbox for `process` without a listening socket; [`service()`] adds one.
    #[must_use]
    pub fn new(process: process::Process) -> Self {
        let inner = Inner {
            process,
            handlers: sync::RwLock::default(),
            clients: sync::Mutex::default(),
            snapshot: snapshot::Handle::default(),
            unresolved: configuration::UnresolvedChanges::default(),
            peers: sync::Arc::default(),
            newer: watch::Sender::default(),
        };
        Self { inner: sync::Arc::new(inner) }
    }

    /// Adds a handler. The first handler that returns a body determines the reply. Handlers run on
    /// the socket's threads and must not block.
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
        let reply = client.request(&self.message(body), timeout).await?;
        self.observe_version(&reply.from, Some(address), reply.version);
        Ok(reply)
    }

    /// Handles `message` as if it was received on the socket, and returns the reply.
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
        self.message(body.unwrap_or_else(unknown_message))
    }

    /// Publishes `version` of the node `from` if it is newer than the active one. Versions that
    /// arrive outside the mailbox (replies of agents, requests of entries) are passed in here too.
    pub fn observe_version(&self, from: &str, address: Option<&str>, version: ids::Version) {
        if version <= self.inner.snapshot.load().version {
            return;
        }
        let newer = NewerVersion {
            version,
            from: from.to_owned(),
            address: address.map(ToOwned::to_owned),
        };
        self.inner.newer.send_replace(newer);
    }

    /// Subscribes to versions that are newer than the active one.
    #[must_use]
    pub fn newer_versions(&self) -> watch::Receiver<NewerVersion> {
        self.inner.newer.subscribe()
    }

    /// Returns the active configuration of this process.
    #[must_use]
    pub fn snapshot(&self) -> snapshot::Handle {
        self.inner.snapshot.clone()
    }

    /// Returns the configuration changes of this process whose outcome is unknown.
    #[must_use]
    pub fn unresolved_changes(&self) -> configuration::UnresolvedChanges {
        self.inner.unresolved.clone()
    }

    /// Returns the most recent list of VMs.
    #[must_use]
    pub fn peers(&self) -> sync::Arc<Vec<vms::Vm>> {
        self.inner.peers.load_full()
    }

    /// Replaces the list of VMs.
    pub fn set_peers(&self, vms: Vec<vms::Vm>) {
        self.inner.peers.store(sync::Arc::new(vms));
    }

    /// Returns the identity of this process.
    #[must_use]
    pub fn process(&self) -> &process::Process {
        &self.inner.process
    }

    /// Drops the clients of all addresses for which `keep` returns `false`.
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

    /// Builds a message from this process with its active configuration version.
    #[must_use]
    pub fn message(&self, body: control::Body) -> control::Message {
        self.inner.process.message(self.inner.snapshot.load().version, body)
    }
}

fn unknown_message() -> control::Body {
    error_body(code::Code::MessageUnknown, "no service of this process takes this message")
}

/// Builds the body of an error reply.
#[must_use]
pub fn error_body(code: code::Code, message: impl Into<String>) -> control::Body {
    control::Body::Failed { code, message: message.into() }
}

/// Creates the service "mailbox", which listens on the control address of `process`.
#[must_use]
pub fn service(process: process::Process) -> service::Service {
    let server: rc::Rc<cell::RefCell<Option<socket::Server>>> = rc::Rc::default();
    let stopping = server.clone();
    service::Service::new(Mailbox::NAME)
        .start(move |registry| async move {
            let mailbox = Mailbox::new(process);
            *server.borrow_mut() = Some(listen(&mailbox)?);
            registry.register(Mailbox::NAME, mailbox);
            Ok(())
        })
        .stop(move |_| async move {
            let server = stopping.borrow_mut().take();
            if let Some(server) = server {
                server.close().await;
            }
        })
}

fn listen(mailbox: &Mailbox) -> error::KernelResult<socket::Server> {
    let receiver = mailbox.clone();
    let handle = move |message: Result<control::Message, socket::RejectedMessage>| match message {
        Ok(message) => receiver.handle_message(&message),
        Err(refused) => receiver.message(error_body(refused.code, refused.reason)),
    };
    socket::Server::listen(&mailbox.process().peer.control, handle).map_err(|error| {
        error::KernelError::StartFailed(Mailbox::NAME.to_owned(), error.to_string())
    })
}
