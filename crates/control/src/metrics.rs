//! Metrics client for statsd.
//!
//! Names start with `azuregap.` and every metric carries the tag `node`. Nothing is sent if no
//! address is configured. `docs/METRICS.md` lists the metrics.

use std::fmt;
use std::net;
use std::sync;
use std::time;

use cadence::prelude::*;

/// Prefix of every metric name.
const PREFIX: &str = "azuregap";

/// Maximum number of queued metrics; further ones are dropped.
const QUEUE_CAPACITY: usize = 4096;

/// Sends metrics without blocking; metrics that cannot be sent are dropped. Clones share one
/// client.
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
    /// Creates a client for the metrics of `node`, which sends to `statsd` if it is set.
    #[must_use]
    pub fn new(node: &str, statsd: Option<net::SocketAddr>) -> Self {
        let sink = statsd.and_then(|address| {
            let socket = net::UdpSocket::bind(unspecified_address(address)).ok()?;
            socket.set_nonblocking(true).ok()?;
            cadence::BufferedUdpMetricSink::from(address, socket).ok()
        });
        let builder = match sink {
            Some(sink) => {
                let sink = cadence::QueuingMetricSink::with_capacity(sink, QUEUE_CAPACITY);
                cadence::StatsdClient::builder(PREFIX, sink)
            }
            None => cadence::StatsdClient::builder(PREFIX, cadence::NopMetricSink),
        };
        Self { client: sync::Arc::new(builder.with_tag("node", node).build()) }
    }

    /// Counts one event of `class` with the result `code`; 0 means success.
    pub fn count(&self, name: &str, class: &str, code: u16) {
        let code = code.to_string();
        self.client
            .count_with_tags(name, 1)
            .with_tag("class", class)
            .with_tag("code", &code)
            .send();
    }

    /// Reports a duration for `class`.
    pub fn time(&self, name: &str, class: &str, duration: time::Duration) {
        self.client.time_with_tags(name, duration).with_tag("class", class).send();
    }

    /// Reports a gauge value.
    pub fn gauge(&self, name: &str, value: u64) {
        self.client.gauge_with_tags(name, value).send();
    }
}

/// Returns the unspecified address and port of the same address family.
const fn unspecified_address(address: net::SocketAddr) -> net::SocketAddr {
    let ip = match address {
        net::SocketAddr::V4(_) => net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED),
        net::SocketAddr::V6(_) => net::IpAddr::V6(net::Ipv6Addr::UNSPECIFIED),
    };
    net::SocketAddr::new(ip, 0)
}
