//! Gateways that exchange messages on the loopback interface.

use std::rc;
use std::time::Duration;

use azuregap_gateway::clock;
use azuregap_gateway::service;
use azuregap_gateway::state;
use tokio::net as tokio_net;
use tokio::time;

/// Waits for at least some milliseconds, in turns in which all other tasks run too, also if the
/// machine is busy.
pub async fn pause(millis: u64) {
    for _ in 0..millis / 10 {
        time::sleep(Duration::from_millis(10)).await;
    }
}

/// Starts a gateway that exchanges messages on a port of its own.
pub async fn gateway(fake: &super::FakeStore, node: &str) -> rc::Rc<state::State> {
    let socket = tokio_net::UdpSocket::bind("127.0.0.1:0").await.expect("a free port");
    let mut settings = super::settings(node);
    settings.gossip_address = socket.local_addr().expect("an address");
    let state = rc::Rc::new(state::State::new(settings, super::CODEC, clock::Clock::system()));
    let store = rc::Rc::new(fake.store());
    actix_rt::spawn(service::run_gossip(state.clone(), store, socket, 1));
    pause(100).await;
    state
}
