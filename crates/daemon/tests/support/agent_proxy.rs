//! A proxy in front of an agent whose connections can stop carrying data without being closed.

use std::net;
use std::time;

use azuregap_standins::silent;
use azuregap_wire::PROTOCOL;
use azuregap_wire::control;
use azuregap_wire::socket;

use super::caller;
use super::documents;

/// Timeout of a `Hello` message to an agent.
const HELLO_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Replies to `Hello` in place of an agent, with the address of a proxy as the agent's address for
/// runs.
pub(crate) struct AgentProxy {
    pub(crate) proxy: silent::Proxy,
    control: net::SocketAddr,
    _server: socket::Server,
}

impl AgentProxy {
    /// Starts a proxy in front of the agent with these settings.
    pub(crate) async fn start(agent: &documents::Document) -> Self {
        let listen = agent.address("listen");
        let proxy = silent::Proxy::start(documents::free_address(), listen).await.unwrap();
        let control = documents::free_address();
        let mut greeted = request_greeting(agent.address("control")).await;
        if let control::Body::Greeted { peer, .. } = &mut greeted.body {
            peer.control = control.to_string();
            if let control::Role::Agent { run_address, .. } = &mut peer.role {
                *run_address = proxy.address().to_string();
            }
        }
        let server = socket::Server::listen(&control.to_string(), move |_| greeted.clone());
        Self { proxy, control, _server: server.unwrap() }
    }

    /// Address at which it replies to `Hello`.
    pub(crate) const fn control(&self) -> net::SocketAddr {
        self.control
    }
}

/// Sends `Hello` to an agent until it replies; returns the reply.
async fn request_greeting(address: net::SocketAddr) -> control::Message {
    let hello = control::Message {
        protocol: PROTOCOL,
        from: "test".to_owned(),
        incarnation: 1,
        version: 0,
        body: control::Body::Hello(control::Peer {
            node: "test".to_owned(),
            incarnation: 1,
            zone: "perth-north".to_owned(),
            control: address.to_string(),
            role: control::Role::Entry,
        }),
    };
    let mut greeted = None;
    caller::eventually("the agent answers a greeting", async || {
        let client = socket::Client::dial(&address.to_string()).unwrap();
        let reply = client.request(&hello, HELLO_TIMEOUT).await.ok();
        greeted = reply.filter(|reply| matches!(reply.body, control::Body::Greeted { .. }));
        greeted.is_some()
    })
    .await;
    greeted.unwrap()
}
