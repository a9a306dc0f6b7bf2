//! Counters and latency histograms, in the usual text format.

use std::time::Duration;

use prometheus::core;

/// Bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 12] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0];

type Counters = core::GenericCounterVec<core::AtomicU64>;

/// Counters and histograms of one gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: prometheus::Registry,
    /// Requests by status of the final answer.
    pub requests: Counters,
    /// Attempts at backend servers by outcome.
    pub attempts: Counters,
    /// Calls to the store and the platform by outcome.
    pub store_calls: Counters,
    /// Connections opened to backend servers.
    pub connections: core::GenericCounter<core::AtomicU64>,
    first: prometheus::Histogram,
    whole: prometheus::Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// All counters at zero.
    ///
    /// # Panics
    ///
    /// Never: the names are constants that the registry accepts.
    #[must_use]
    pub fn new() -> Self {
        let counters = |name: &str, help: &str, label: &str| {
            Counters::new(prometheus::Opts::new(name, help), &[label]).expect("a valid name")
        };
        let histogram = |name: &str, help: &str| {
            let opts = prometheus::HistogramOpts::new(name, help).buckets(BUCKETS.to_vec());
            prometheus::Histogram::with_opts(opts).expect("a valid name")
        };
        let metrics = Self {
            registry: prometheus::Registry::new(),
            requests: counters("azuregap_requests_total", "Final answers by status", "status"),
            attempts: counters("azuregap_attempts_total", "Attempts by outcome", "outcome"),
            store_calls: counters(
                "azuregap_calls_total",
                "Calls to the platform by outcome",
                "outcome",
            ),
            connections: core::GenericCounter::new(
                "azuregap_connections_total",
                "Connections opened to backend servers",
            )
            .expect("a valid name"),
            first: histogram("azuregap_first_byte_seconds", "Time to the first byte or event"),
            whole: histogram("azuregap_answer_seconds", "Time to the end of the answer"),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let collectors: [Box<dyn core::Collector>; 6] = [
            Box::new(self.requests.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.store_calls.clone()),
            Box::new(self.connections.clone()),
            Box::new(self.first.clone()),
            Box::new(self.whole.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector).expect("each name is registered once");
        }
    }

    /// Observes the time to the first byte or event.
    pub fn observe_first_byte(&self, after: Duration) {
        self.first.observe(after.as_secs_f64());
    }

    /// Observes the time to the end of an answer.
    pub fn observe_answer(&self, after: Duration) {
        self.whole.observe(after.as_secs_f64());
    }

    /// All values as text.
    #[must_use]
    pub fn encode(&self) -> String {
        prometheus::TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(
            |error| {
                tracing::error!(reason = error.to_string(), "the metrics could not be encoded");
                String::new()
            },
        )
    }
}
