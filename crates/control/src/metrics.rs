//! Metrics sent to a statsd address.
//!
//! Names start with `azuregap.`; every metric carries the tag `node`. Without an address nothing
//! is sent. The list for people is `docs/METRICS.md`.

use std::fmt;
use std::net;
use std::sync;
use std::time;

use cadence::prelude::*;

/// Start of every metric's name.
const PREFIX: &str = "azuregap";

/// Metrics that wait to be sent; more are dropped.
const WAITING: usize = 4096;

/// Sends metrics; clones share one sender. It never blocks: what can't be sent is dropped.
#[derive(Clone)]
pub struct Metrics {
    client: sync::Arc<cadence::StatsdClient>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Metrics of `node`, sent to `statsd` if there is such an address.
    #[must_use]
    pub fn new(node: &str, statsd: Option<net::SocketAddr>) -> Self {
        let sink = statsd.and_then(|address| {
            let socket = net::UdpSocket::bind(unspecified(address)).ok()?;
            socket.set_nonblocking(true).ok()?;
            cadence::BufferedUdpMetricSink::from(address, socket).ok()
        });
        let builder = match sink {
            Some(sink) => {
                let sink = cadence::QueuingMetricSink::with_capacity(sink, WAITING);
                cadence::StatsdClient::builder(PREFIX, sink)
            }
            None => cadence::StatsdClient::builder(PREFIX, cadence::NopMetricSink),
        };
        Self { client: sync::Arc::new(builder.with_tag("node", node).build()) }
    }

    /// Counts one event of `class` that ended with `code`; 0 is success.
    pub fn count(&self, name: &str, class: &str, code: u16) {
        let code = code.to_string();
        self.client
            .count_with_tags(name, 1)
            .with_tag("class", class)
            .with_tag("code", &code)
            .send();
    }

    /// Reports how long something of `class` took.
    pub fn time(&self, name: &str, class: &str, took: time::Duration) {
        self.client.time_with_tags(name, took).with_tag("class", class).send();
    }

    /// Reports a level.
    pub fn gauge(&self, name: &str, level: u64) {
        self.client.gauge_with_tags(name, level).send();
    }
}

/// Any local port of the same address family.
const fn unspecified(address: net::SocketAddr) -> net::SocketAddr {
    let ip = match address {
        net::SocketAddr::V4(_) => net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED),
        net::SocketAddr::V6(_) => net::IpAddr::V6(net::Ipv6Addr::UNSPECIFIED),
    };
    net::SocketAddr::new(ip, 0)
}
