//! Request counters and latency histograms, exported in the Prometheus text format.

use std::cell;
use std::collections;
use std::time::Duration;

use azuregap_core::ids;
use prometheus::core;

use crate::decision::retry_budget;

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 20.0];

type Counters = core::GenericCounterVec<core::AtomicU64>;
type Gauges = core::GenericGaugeVec<core::AtomicI64>;
type Rates = core::GenericGaugeVec<core::AtomicF64>;

/// Limit of a backend server, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitUse {
    /// What it takes from all gateways.
    pub whole: f64,
    /// What this gateway may use of it.
    pub own: f64,
}

/// Counters and histograms of one gateway.
#[derive(Debug)]
pub struct Metrics {
    registry: prometheus::Registry,
    /// Requests by status of the final response.
    pub requests: Counters,
    /// Attempts to send a request to a backend server, by outcome.
    pub attempts: Counters,
    /// Calls to the store, by outcome.
    pub store_calls: Counters,
    /// Connections opened to backend servers.
    pub connections: core::GenericCounter<core::AtomicU64>,
    /// Requests that lost their backend server before the first event.
    pub lost_prompts: core::GenericCounter<core::AtomicU64>,
    /// Crashes that made a request or prompt segment suspect, or more suspect.
    pub suspects_found: core::GenericCounter<core::AtomicU64>,
    /// Requests sent to see whether they still crash backend servers.
    pub crash_trials: core::GenericCounter<core::AtomicU64>,
    /// Requests that were rejected since their prompt crashes backend servers.
    pub quarantine_rejections: core::GenericCounter<core::AtomicU64>,
    /// Refusals and closed connections of clients that reached a limit, by reason.
    pub client_limits: Counters,
    /// Versions of the configuration since which no key is asked for, after one that asked.
    pub key_checks_ended: core::GenericCounter<core::AtomicU64>,
    limited_backends: core::GenericGauge<core::AtomicI64>,
    backend_limit: Rates,
    allowed_sends: Rates,
    limited_sends: Counters,
    /// Backend servers with metrics of their own, since they name a limit.
    limited: cell::RefCell<collections::BTreeSet<ids::BackendId>>,
    /// Availability zones that are withdrawn.
    pub withdrawn_zones: core::GenericGauge<core::AtomicI64>,
    /// Backend servers that are cold.
    pub cold_backends: core::GenericGauge<core::AtomicI64>,
    /// Requests sent to cold backend servers.
    pub cold_sends: core::GenericCounter<core::AtomicU64>,
    limit_waits: Counters,
    room_sends: Counters,
    room: Gauges,
    retries: Counters,
    retries_used: Gauges,
    retries_allowed: Gauges,
    first_byte: prometheus::Histogram,
    response_time: prometheus::Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates and registers all metrics, with every counter at zero.
    ///
    /// # Panics
    ///
    /// Never: all names are valid constants, each registered once.
    #[must_use]
    pub fn new() -> Self {
        let counter = |name: &str, help: &str, label: &str| {
            Counters::new(prometheus::Opts::new(name, help), &[label])
                .expect("the metric name is valid")
        };
        let plain_counter = |name: &str, help: &str| {
            core::GenericCounter::new(name, help).expect("the metric name is valid")
        };
        let plain_gauge = |name: &str, help: &str| {
            core::GenericGauge::new(name, help).expect("the metric name is valid")
        };
        let gauge = |name: &str, help: &str| {
            Gauges::new(prometheus::Opts::new(name, help), &["service"])
                .expect("the metric name is valid")
        };
        let rates = |name: &str, help: &str| {
            Rates::new(prometheus::Opts::new(name, help), &["backend"])
                .expect("the metric name is valid")
        };
        let histogram = |name: &str, help: &str| {
            let opts = prometheus::HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS.to_vec());
            prometheus::Histogram::with_opts(opts).expect("the metric name is valid")
        };
        let metrics = Self {
            registry: prometheus::Registry::new(),
            requests: counter("azuregap_requests_total", "Final answers by status", "status"),
            attempts: counter("azuregap_attempts_total", "Attempts by outcome", "outcome"),
            store_calls: counter(
                "azuregap_calls_total",
                "Calls to the platform by outcome",
                "outcome",
            ),
            connections: plain_counter(
                "azuregap_connections_total",
                "Connections opened to backend servers",
            ),
            lost_prompts: plain_counter(
                "azuregap_lost_prompts_total",
                "Requests whose backend server ended before their answer did",
            ),
            suspects_found: plain_counter(
                "azuregap_crash_suspects_total",
                "Crashes that made a request or prompt segment suspect, or more suspect",
            ),
            crash_trials: plain_counter(
                "azuregap_crash_trials_total",
                "Requests sent to see whether they still crash backend servers",
            ),
            quarantine_rejections: plain_counter(
                "azuregap_quarantine_rejections_total",
                "Requests rejected since they crash backend servers, or their prompt does",
            ),
            key_checks_ended: plain_counter(
                "azuregap_key_checks_ended_total",
                "Versions of the configuration since which no key is asked for",
            ),
            client_limits: counter(
                "azuregap_client_limits_total",
                "Requests refused and connections closed at a limit on clients",
                "reason",
            ),
            limited_backends: plain_gauge(
                "azuregap_limited_backends",
                "Backend servers that name a limit",
            ),
            withdrawn_zones: plain_gauge(
                "azuregap_withdrawn_zones",
                "Availability zones that the operator has withdrawn",
            ),
            cold_backends: plain_gauge("azuregap_cold_backends", "Backend servers that are cold"),
            cold_sends: plain_counter(
                "azuregap_cold_sends_total",
                "Requests sent to a backend server while it is cold",
            ),
            backend_limit: rates(
                "azuregap_backend_limit",
                "Requests per second that a backend server takes from all gateways",
            ),
            allowed_sends: rates(
                "azuregap_limited_sends_allowed",
                "Requests per second that this gateway may send to a backend server with a limit",
            ),
            limited_sends: counter(
                "azuregap_limited_sends_total",
                "Requests sent to a backend server while it names a limit",
                "backend",
            ),
            limited: cell::RefCell::default(),
            limit_waits: counter(
                "azuregap_limit_waits_total",
                "Requests that waited for a backend server with a limit, by outcome",
                "outcome",
            ),
            room_sends: counter(
                "azuregap_engine_room_sends_total",
                "Sends to model engines whose streams name a pause, by whether the prompt fitted",
                "outcome",
            ),
            room: gauge(
                "azuregap_engine_room_tokens",
                "Room at the engine of the last send, in prompt tokens",
            ),
            retries: counter("azuregap_retries_total", "Retries by decision", "decision"),
            retries_used: gauge(
                "azuregap_retries_used",
                "Retries in the window at the last decision",
            ),
            retries_allowed: gauge(
                "azuregap_retries_allowed",
                "Retries allowed in the window at the last decision",
            ),
            first_byte: histogram("azuregap_first_byte_seconds", "Time to the first byte or event"),
            response_time: histogram("azuregap_answer_seconds", "Time to the end of the answer"),
        };
        metrics.register();
        metrics
    }

    fn register(&self) {
        let collectors: [Box<dyn core::Collector>; 25] = [
            Box::new(self.requests.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.store_calls.clone()),
            Box::new(self.connections.clone()),
            Box::new(self.lost_prompts.clone()),
            Box::new(self.suspects_found.clone()),
            Box::new(self.crash_trials.clone()),
            Box::new(self.quarantine_rejections.clone()),
            Box::new(self.client_limits.clone()),
            Box::new(self.key_checks_ended.clone()),
            Box::new(self.limited_backends.clone()),
            Box::new(self.backend_limit.clone()),
            Box::new(self.allowed_sends.clone()),
            Box::new(self.limited_sends.clone()),
            Box::new(self.withdrawn_zones.clone()),
            Box::new(self.cold_backends.clone()),
            Box::new(self.cold_sends.clone()),
            Box::new(self.limit_waits.clone()),
            Box::new(self.room_sends.clone()),
            Box::new(self.room.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.retries_used.clone()),
            Box::new(self.retries_allowed.clone()),
            Box::new(self.first_byte.clone()),
            Box::new(self.response_time.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector).expect("each metric is registered once");
        }
    }

    /// Records whether a retry was granted, and how much of the budget of its service is used.
    pub fn record_retry(&self, service: &str, granted: bool, usage: retry_budget::Usage) {
        let decision = if granted { "granted" } else { "denied" };
        self.retries.with_label_values(&[decision]).inc();
        self.retries_used.with_label_values(&[service]).set(usage.used.into());
        self.retries_allowed.with_label_values(&[service]).set(usage.allowed.into());
    }

    /// Records the limits that backend servers name and what this gateway may use of them, in requests
    /// per second by id. The metrics of servers that name none any more are dropped.
    pub fn record_limits(&self, limits: &collections::BTreeMap<ids::BackendId, LimitUse>) {
        self.limited_backends.set(i64::try_from(limits.len()).unwrap_or(i64::MAX));
        let mut limited = self.limited.borrow_mut();
        for backend in limited.iter().filter(|backend| !limits.contains_key(*backend)) {
            // An error means that there are none.
            let _ = self.backend_limit.remove_label_values(&[backend]);
            let _ = self.allowed_sends.remove_label_values(&[backend]);
            let _ = self.limited_sends.remove_label_values(&[backend]);
        }
        for (backend, limit) in limits {
            self.backend_limit.with_label_values(&[backend]).set(limit.whole);
            self.allowed_sends.with_label_values(&[backend]).set(limit.own);
        }
        *limited = limits.keys().cloned().collect();
    }

    /// Counts a request that waited for a backend server with a limit.
    pub fn record_limit_wait(&self, outcome: &str) {
        self.limit_waits.with_label_values(&[outcome]).inc();
    }

    /// Counts a send to a model engine with room for so many prompt tokens.
    pub fn record_room(&self, service: &str, outcome: &str, room: u64) {
        self.room_sends.with_label_values(&[outcome]).inc();
        self.room.with_label_values(&[service]).set(i64::try_from(room).unwrap_or(i64::MAX));
    }

    /// Counts a request that is sent to a backend server with a limit.
    pub fn record_limited_send(&self, backend: &str) {
        self.limited.borrow_mut().insert(backend.to_owned());
        self.limited_sends.with_label_values(&[backend]).inc();
    }

    /// Records the time to the first byte or event of a response.
    pub fn observe_first_byte(&self, elapsed: Duration) {
        self.first_byte.observe(elapsed.as_secs_f64());
    }

    /// Records the time to the end of a response.
    pub fn observe_response(&self, elapsed: Duration) {
        self.response_time.observe(elapsed.as_secs_f64());
    }

    /// Encodes all metrics in the Prometheus text format.
    #[must_use]
    pub fn encode(&self) -> String {
        prometheus::TextEncoder::new().encode_to_string(&self.registry.gather()).unwrap_or_else(
            |error| {
                tracing::error!(reason = error.to_string(), "failed to encode the metrics");
                String::new()
            },
        )
    }
}
