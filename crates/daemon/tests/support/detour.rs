//! A way to an agent on which connections for answers can fall silent.

use std::net;
use std::time;

use azuregap_standins::silent;
use azuregap_wire::PROTOCOL;
use azuregap_wire::control;
use azuregap_wire::socket;

use super::caller;
use super::documents;

/// How long an agent may take to answer a greeting.
const GREETING: time::Duration = time::Duration::from_millis(500);

/// Answers greetings in an agent's place, with the address of a proxy for its answers.
pub(crate) struct Detour {
    pub(crate) proxy: silent::Proxy,
    control: net::SocketAddr,
    _server: socket::Server,
}

impl Detour {
    /// Puts a proxy before the agent with these settings.
    pub(crate) async fn start(agent: &documents::Document) -> Self {
        let listen = agent.address("listen");
        let proxy = silent::Proxy::start(documents::free_address(), listen).await.unwrap();
        let control = documents::free_address();
        let mut greeted = greet(agent.address("control")).await;
        if let control::Body::Greeted { peer, .. } = &mut greeted.body {
            peer.control = control.to_string();
            if let control::Role::Agent { run_address, .. } = &mut peer.role {
                *run_address = proxy.address().to_string();
            }
        }
        let server = socket::Server::listen(&control.to_string(), move |_| greeted.clone());
        Self { proxy, control, _server: server.unwrap() }
    }

    /// Where it answers greetings.
    pub(crate) const fn control(&self) -> net::SocketAddr {
        self.control
    }
}

/// The agent's own answer to a greeting.
async fn greet(address: net::SocketAddr) -> control::Message {
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
        let reply = client.request(&hello, GREETING).await.ok();
        greeted = reply.filter(|reply| matches!(reply.body, control::Body::Greeted { .. }));
        greeted.is_some()
    })
    .await;
    greeted.unwrap()
}
