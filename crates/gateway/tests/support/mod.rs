//! An in-memory store, a codec and settings for tests.

#![allow(dead_code, unreachable_pub)]

pub mod addresses;
pub mod cold_fleet;
pub mod crash_fleet;
pub mod crash_load;
pub mod fleet;
pub mod fragile;
pub mod gossiping;
pub mod limit_fleet;
pub mod loopback;
pub mod messages;
pub mod network;
pub mod report;
pub mod retry_fleet;

use std::cell::RefCell;
use std::collections;
use std::net;
use std::rc;
use std::time::Duration;

use azuregap_gateway::clock;
use azuregap_gateway::codec;
use azuregap_gateway::configuration;
use azuregap_gateway::decision::backend_limit;
use azuregap_gateway::decision::retry_budget;
use azuregap_gateway::directory;
use azuregap_gateway::settings;
use azuregap_gateway::state;
use azuregap_gateway::store;
use futures::FutureExt as _;
use http::HeaderMap;
use tokio::task;
use tokio::time;

/// Tables of the store, and how it behaves.
#[derive(Debug, Default)]
pub struct Tables {
    rows: Rows,
    version: u64,
    /// Rises each time the store comes back from a copy; see [`FakeStore::restore`].
    pub era: u64,
    /// Whether every call is rejected.
    pub down: bool,
    /// Whether calls get no response.
    pub silent: bool,
    /// Whether transactions are applied but get no usable response.
    pub drops_responses: bool,
    /// Changes before this version are no longer available.
    pub compacted: u64,
    /// Delay of each response.
    pub delay: Duration,
    /// Number of calls.
    pub calls: u64,
    /// Length of the responses with rows.
    pub response_bytes: u64,
    /// Bytes a second that arrive.
    pub link_rate: f64,
}

/// Interval at which a part of a response arrives.
const PART_INTERVAL: Duration = Duration::from_millis(10);

type Rows = collections::HashMap<store::Table, collections::BTreeMap<String, store::Row>>;

/// A copy of the store's rows.
#[derive(Clone, Debug)]
pub struct Copy {
    rows: Rows,
    version: u64,
}

/// An in-memory store.
#[derive(Clone, Debug, Default)]
pub struct FakeStore {
    pub tables: rc::Rc<RefCell<Tables>>,
}

impl FakeStore {
    pub fn put(&self, table: store::Table, key: &str, data: Option<&str>) {
        let mut tables = self.tables.borrow_mut();
        tables.version += 1;
        let version = tables.version;
        let data = data.map(|data| data.as_bytes().to_vec());
        let row = store::Row { key: key.to_owned(), data, version };
        tables.rows.entry(table).or_default().insert(key.to_owned(), row);
    }

    pub fn get(&self, table: store::Table, key: &str) -> Option<String> {
        let tables = self.tables.borrow();
        let data = tables.rows.get(&table)?.get(key)?.data.clone()?;
        String::from_utf8(data).ok()
    }

    fn check_available(&self) -> Result<(), store::StoreError> {
        let tables = self.tables.borrow();
        if tables.down { Err(store::StoreError::Rejected(503)) } else { Ok(()) }
    }

    async fn start_call(&self) {
        let delay = {
            let mut tables = self.tables.borrow_mut();
            tables.calls += 1;
            tables.delay
        };
        time::sleep(delay).await;
        if self.tables.borrow().silent {
            time::sleep(Duration::from_secs(3_600)).await;
        }
    }

    /// Sends a response of the configured length over the link of the gateway, in parts.
    async fn send(&self, progress: &store::Progress) {
        let length = self.tables.borrow().response_bytes;
        progress.send_modify(|transfer| transfer.record_head(Some(length), time::Instant::now()));
        let mut sent = 0;
        while sent < length {
            let rate = self.tables.borrow().link_rate;
            time::sleep(PART_INTERVAL).await;
            let part = (rate * PART_INTERVAL.as_secs_f64()) as u64;
            sent += part;
            progress.send_modify(|transfer| {
                transfer.record_bytes(part as usize, time::Instant::now());
            });
        }
    }

    fn read(&self, table: store::Table) -> Result<store::Rows, store::StoreError> {
        self.check_available()?;
        let tables = self.tables.borrow();
        let rows = tables.rows.get(&table).into_iter().flat_map(|rows| rows.values());
        let rows = rows.filter(|row| row.data.is_some()).cloned().collect();
        Ok(store::Rows { rows, version: tables.version, era: tables.era })
    }

    async fn watch(
        &self,
        table: store::Table,
        since: u64,
        wait: Duration,
        progress: &store::Progress,
    ) -> Result<store::Rows, store::StoreError> {
        self.start_call().await;
        let until = time::Instant::now() + wait;
        loop {
            if self.tables.borrow().silent {
                time::sleep(Duration::from_secs(3_600)).await;
            }
            self.check_available()?;
            let rows = self.changes(table, since)?;
            if !rows.rows.is_empty() {
                self.send(progress).await;
                return Ok(rows);
            }
            if time::Instant::now() >= until {
                return Ok(rows);
            }
            time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn changes(&self, table: store::Table, since: u64) -> Result<store::Rows, store::StoreError> {
        let tables = self.tables.borrow();
        if since < tables.compacted || since > tables.version {
            return Err(store::StoreError::Compacted);
        }
        let rows = tables.rows.get(&table).into_iter().flat_map(|rows| rows.values());
        let rows = rows.filter(|row| row.version > since).cloned().collect();
        Ok(store::Rows { rows, version: tables.version, era: tables.era })
    }

    fn commit(&self, commit: store::Commit) -> Result<store::Receipt, store::StoreError> {
        self.check_available()?;
        let version_of = |key: &str| {
            let tables = self.tables.borrow();
            let row = tables.rows.get(&commit.table).and_then(|rows| rows.get(key).cloned());
            row.filter(|row| row.data.is_some())
        };
        let expected = commit
            .writes
            .iter()
            .filter_map(|write| Some((write.key.clone(), write.expected_version?)))
            .chain(commit.preconditions.iter().cloned());
        let mut current = Vec::new();
        let mut holds = true;
        for (key, version) in expected {
            let row = version_of(&key);
            holds &= row.as_ref().map_or(0, |row| row.version) == version;
            current.extend(row);
        }
        if !holds {
            return Err(store::StoreError::Conflict(current));
        }
        let mut tables = self.tables.borrow_mut();
        tables.version += 1;
        let version = tables.version;
        for write in commit.writes {
            let row = store::Row { key: write.key.clone(), data: write.data, version };
            tables.rows.entry(commit.table).or_default().insert(write.key, row);
        }
        if tables.drops_responses {
            return Err(store::StoreError::OutcomeUnknown("lost".to_owned()));
        }
        Ok(store::Receipt { version, era: tables.era })
    }

    /// A copy of all rows, from which [`FakeStore::restore`] brings the store back.
    pub fn copy(&self) -> Copy {
        let tables = self.tables.borrow();
        Copy { rows: tables.rows.clone(), version: tables.version }
    }

    /// Brings the store back from a copy: later writes are lost, their versions are given out
    /// again, and a new era begins.
    pub fn restore(&self, copy: &Copy) {
        let mut tables = self.tables.borrow_mut();
        tables.rows = copy.rows.clone();
        tables.version = copy.version;
        tables.era += 1;
    }

    pub fn store(&self) -> store::Store {
        let (reads, watches, commits) = (self.clone(), self.clone(), self.clone());
        let versions = self.clone();
        store::Store {
            read: Box::new(move |table, progress| {
                let fake = reads.clone();
                async move {
                    fake.start_call().await;
                    fake.send(&progress).await;
                    fake.read(table)
                }
                .boxed_local()
            }),
            watch: Box::new(move |table, since, wait, progress| {
                let fake = watches.clone();
                async move { fake.watch(table, since, wait, &progress).await }.boxed_local()
            }),
            version: Box::new(move || {
                let version = versions.tables.borrow().version;
                async move { Ok(version) }.boxed_local()
            }),
            commit: Box::new(move |commit| {
                let fake = commits.clone();
                async move {
                    fake.start_call().await;
                    fake.commit(commit)
                }
                .boxed_local()
            }),
        }
    }
}

/// Decodes a backend server's entry of the form `service,port,state`.
fn decode_backend(id: &str, bytes: &[u8]) -> Result<directory::Backend, codec::CodecError> {
    let invalid = || codec::CodecError::Document("not a backend entry".to_owned());
    let text = std::str::from_utf8(bytes).map_err(|_| invalid())?;
    let fields: Vec<_> = text.split(',').collect();
    let [service, port, state] = fields[..] else { return Err(invalid()) };
    Ok(directory::Backend {
        id: id.to_owned(),
        started_ms: 1,
        service: service.to_owned(),
        address: net::SocketAddr::from(([127, 0, 0, 1], port.parse().map_err(|_| invalid())?)),
        zone: "a".to_owned(),
        slots: 4,
        cold_left: Some(Duration::ZERO),
        draining: state == "draining",
    })
}

/// Decodes a configuration that consists of its version number only.
fn decode_configuration(bytes: &[u8]) -> Result<configuration::Configuration, codec::CodecError> {
    let text = std::str::from_utf8(bytes).unwrap_or_default();
    let version = text.parse().map_err(|_| codec::CodecError::Document(text.to_owned()))?;
    Ok(configuration::Configuration::new(version))
}

/// Decodes a key of the form `withdrawn:ZONE`.
fn decode_withdrawal(key: &str) -> Result<Option<String>, codec::CodecError> {
    match key.strip_prefix("withdrawn:") {
        Some("") => Err(codec::CodecError::Document("no zone".to_owned())),
        zone => Ok(zone.map(str::to_owned)),
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn decode_request(headers: &HeaderMap) -> Result<codec::RequestHeaders, codec::CodecError> {
    let id = header(headers, "x-id").ok_or(codec::CodecError::Header("x-id"))?.to_owned();
    let millis = header(headers, "x-patience-ms").and_then(|value| value.parse().ok());
    let last_event = header(headers, "x-last-event").and_then(|value| value.parse().ok());
    let api_key = header(headers, "x-key").map(str::to_owned);
    let timeout = millis.map(Duration::from_millis);
    let tokens = header(headers, "x-tokens").and_then(|value| value.parse().ok());
    let prompt_tokens = tokens.unwrap_or_default();
    let segment = |text: &str| {
        let (id, tokens) = text.split_once(':')?;
        Some(codec::Segment { id: id.parse().ok()?, tokens: tokens.parse().ok()? })
    };
    let segments = header(headers, "x-segments").unwrap_or_default();
    Ok(codec::RequestHeaders {
        segments: segments.split(',').filter_map(segment).collect(),
        id,
        timeout,
        api_key,
        last_event,
        prompt_tokens,
    })
}

fn rewrite_headers(headers: &mut HeaderMap, upstream: &codec::UpstreamHeaders) {
    headers.remove("x-key");
    headers.insert("x-rank", u16::from(upstream.rank).into());
    headers.insert("x-backend", upstream.backend.parse().expect("a valid header value"));
    if let Some(source) = upstream.fetch_source {
        headers.insert("x-fetch", source.to_string().parse().expect("a valid header value"));
    }
    if let Some(last) = upstream.last_event {
        headers.insert("x-last-event", last.into());
    }
}

fn decode_response(headers: &HeaderMap) -> codec::ResponseHeaders {
    codec::ResponseHeaders {
        id: header(headers, "x-id").map(str::to_owned),
        signed: !headers.contains_key("x-unsigned"),
        not_executed: headers.contains_key("x-not-run"),
        idle_timeout: None,
        closes_connection: header(headers, "connection") == Some("close"),
        leaving: headers.contains_key("x-leaving"),
        quiet_for: header(headers, "x-quiet-ms")
            .and_then(|value| value.parse().ok())
            .map(Duration::from_millis),
        limit: header(headers, "x-limit").map_or(backend_limit::NamedLimit::None, |value| {
            backend_limit::NamedLimit::from_rate(value.parse().unwrap_or(f64::NAN))
        }),
    }
}

fn encode_usage(window: u64, counts: &[(String, u64)]) -> Vec<u8> {
    format!("{window}:{counts:?}").into_bytes()
}

/// Codec with the header names used by these tests.
pub const CODEC: codec::Codec = codec::Codec {
    decode_request,
    rewrite_headers,
    decode_response,
    decode_configuration,
    decode_withdrawal,
    decode_backend,
    encode_usage,
    configuration_key: "configuration",
};

/// Settings of a test gateway.
pub fn settings(node: &str) -> settings::Settings {
    let local = net::SocketAddr::from(([127, 0, 0, 1], 0));
    settings::Settings {
        node: node.to_owned(),
        zone: "a".to_owned(),
        http_address: local,
        readiness_address: local,
        metrics_address: local,
        gossip_address: local,
        revocation_bound: Duration::from_secs(5),
        configuration_bound: Duration::from_secs(2),
        retry_budget: retry_budget::Limits {
            ratio: 0.2,
            slack: 50.0,
            window: Duration::from_secs(10),
        },
        lease_duration: Duration::from_secs(3),
        usage_window: Duration::from_secs(5),
        report_deadline: Duration::from_secs(10),
        grace_period: Duration::from_secs(8),
        regions: collections::BTreeMap::new(),
        cold_bound: None,
        requires_keys: false,
        resources: settings::Resources::default(),
    }
}

/// Time since the Unix epoch (1970) at which the clock of [`state`] starts.
pub const START_TIME: Duration = Duration::from_secs(1_700_000_000);

/// State of a gateway whose clocks follow the runtime's clock.
pub fn state(node: &str) -> rc::Rc<state::State> {
    state_since(node, time::Instant::now())
}

/// Lets a gateway be the only one in the list, for so long that it uses its part of the budgets.
pub fn list_for_long(state: &state::State) {
    let now = state.clock.now();
    let mut membership = state.membership.borrow_mut();
    membership.record_registration(now - state.settings.retry_budget.window);
    membership.record_list([], now - state.settings.retry_budget.window);
}

/// State of a gateway whose clock showed [`START_TIME`] at `start`.
pub fn state_since(node: &str, start: time::Instant) -> rc::Rc<state::State> {
    state_with(settings(node), start)
}

/// State of a gateway with settings of its own.
pub fn state_with(settings: settings::Settings, start: time::Instant) -> rc::Rc<state::State> {
    let clock = clock::Clock::new(time::Instant::now, move || START_TIME + start.elapsed());
    let state = rc::Rc::new(state::State::new(settings, CODEC, clock));
    list_for_long(&state);
    state
}

/// Runs a test concurrently with a service, after a short time for the service to start.
pub async fn run_with_service(
    service: impl Future<Output = ()> + 'static,
    test: impl Future<Output = ()>,
) {
    let local = task::LocalSet::new();
    local.spawn_local(service);
    local
        .run_until(async {
            time::sleep(Duration::from_millis(50)).await;
            test.await;
        })
        .await;
}
