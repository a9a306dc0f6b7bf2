//! State that the tasks of a gateway share.

use std::cell;
use std::collections;
use std::rc;
use std::sync as std_sync;
use std::time::Duration;

use azuregap_coordination::ids as lease_ids;
use azuregap_core::ids;
use tokio::sync;
use tokio::time;

use crate::clock;
use crate::codec;
use crate::configuration;
use crate::decision::answered_requests;
use crate::decision::arrival_rate;
use crate::decision::backend_limit;
use crate::decision::cold_server;
use crate::decision::connection_limit;
use crate::decision::engine_partition;
use crate::decision::engine_room;
use crate::decision::freshness;
use crate::decision::holder;
use crate::decision::idle_limit;
use crate::decision::learned_capacity;
use crate::decision::median_clock;
use crate::decision::membership;
use crate::decision::memory_budget;
use crate::decision::prefill_speed;
use crate::decision::quarantine;
use crate::decision::quarantine::turn;
use crate::decision::recent_durations;
use crate::decision::retry_budget;
use crate::decision::shutdown;
use crate::decision::told_version;
use crate::decision::usage_counts;
use crate::decision::waiting_line;
use crate::decision::withdrawn_zones;
use crate::directory;
use crate::logs;
use crate::metrics;
use crate::peers;
use crate::proxy::clients;
use crate::proxy::pool;
use crate::settings;

/// State that the tasks of a gateway share; all of them run on one thread.
#[derive(Debug)]
pub struct State {
    /// Settings of this process.
    pub settings: settings::Settings,
    /// Codec for the deployment's names.
    pub codec: codec::Codec,
    /// Clocks of this process.
    pub clock: clock::Clock,
    /// Active configuration; `None` until the first one was read.
    pub configuration: cell::RefCell<Option<rc::Rc<configuration::Configuration>>>,
    /// Notified when a configuration with other limits on clients is in force.
    pub limits_changed: sync::watch::Sender<()>,
    /// When the configuration was last confirmed by the store.
    pub freshness: cell::RefCell<freshness::Freshness>,
    /// Notified when a denial would be based on an old configuration.
    pub refresh_requested: sync::Notify,
    /// Notified when a read of the configuration has ended, successfully or not.
    pub refresh_finished: sync::Notify,
    /// Known backend servers and their load.
    pub directory: cell::RefCell<directory::Directory>,
    /// Whether the backend servers have been read since the start.
    pub backends_loaded: cell::Cell<bool>,
    /// Partition of the model engines of each service by prompt length.
    pub engine_partitions:
        cell::RefCell<collections::HashMap<ids::PoolId, engine_partition::EnginePartition>>,
    /// Arrival rate of short requests without a preferred backend server at this gateway, by
    /// service.
    pub arrival_rates: cell::RefCell<collections::HashMap<ids::PoolId, arrival_rate::ArrivalRate>>,
    /// Prefill speed of the model engines of each service.
    pub prefill_speeds:
        cell::RefCell<collections::HashMap<ids::PoolId, prefill_speed::PrefillSpeed>>,
    /// Shared prompt segments that backend servers have read for this gateway since it last told
    /// the others.
    pub read_segments: cell::RefCell<collections::BTreeSet<peers::CachedSegment>>,
    /// Prompt segments and requests that crash backend servers.
    pub quarantine: cell::RefCell<quarantine::Quarantine>,
    /// When requests were last answered.
    pub answered: cell::RefCell<answered_requests::AnsweredRequests>,
    /// Seed of the hashes of answered requests.
    pub hash_seed: u64,
    /// Number of changes that are news for the other gateways or the store.
    pub news: sync::watch::Sender<u64>,
    /// Limits that backend servers name.
    pub backend_limits: cell::RefCell<backend_limit::BackendLimits>,
    /// Requests that wait for a backend server with a limit, by service.
    pub waiting_lines: cell::RefCell<collections::HashMap<ids::PoolId, waiting_line::WaitingLine>>,
    /// Availability zones that the operator has withdrawn.
    pub withdrawn_zones: cell::RefCell<withdrawn_zones::WithdrawnZones>,
    /// Backend servers that take only a few requests a second since they have just started.
    pub cold_servers: cell::RefCell<cold_server::ColdServers>,
    /// Work at the model engines of each service.
    pub engine_rooms: cell::RefCell<collections::HashMap<ids::PoolId, engine_room::EngineRooms>>,
    /// What is known of the capacity of the backend servers of each service.
    pub learned_capacities:
        cell::RefCell<collections::HashMap<ids::PoolId, learned_capacity::LearnedCapacities>>,
    /// Memory for what clients and backend servers send.
    pub memory_budget: std_sync::Arc<std_sync::Mutex<memory_budget::MemoryBudget>>,
    /// Connections of clients.
    pub clients: clients::Clients,
    /// Newest version of the configuration that another gateway has in force.
    pub told_version: cell::RefCell<told_version::ToldVersion>,
    /// Limit on the idle time of reused connections, by service.
    pub idle_limits: cell::RefCell<collections::HashMap<ids::PoolId, idle_limit::IdleLimit>>,
    /// Budget for retries, shared with the other gateways.
    pub retry_budget: cell::RefCell<retry_budget::RetryBudget>,
    /// Requests executed through this gateway, by usage window and team.
    pub usage_counts: cell::RefCell<usage_counts::UsageCounts>,
    /// Team names by hash, for all teams that may occur in usage counts.
    pub team_names: cell::RefCell<collections::HashMap<usage_counts::TeamHash, ids::TeamId>>,
    /// Estimate of the true time, from the clocks of all gateways.
    pub median_clock: cell::RefCell<median_clock::MedianClock>,
    /// Other gateways and what they reported.
    pub peers: cell::RefCell<peers::Peers>,
    /// Pool of connections to backend servers.
    pub pool: pool::Pool,
    /// Counters and latency histograms.
    pub metrics: metrics::Metrics,
    /// Rate limit on log lines.
    pub log_limiter: logs::Limiter,
    /// Notified when a backend server may have become available; wakes waiting requests.
    pub capacity_changed: sync::Notify,
    /// Whether this process is shutting down.
    pub stopping: sync::watch::Sender<bool>,
    /// What the other gateways know about this one.
    pub membership: cell::RefCell<membership::Membership>,
    /// Whether this gateway has an entry in the list of gateways.
    pub registered: cell::Cell<bool>,
    /// Fencing token while this gateway reports usage.
    pub reporting: sync::watch::Sender<Option<ids::Fence>>,
    /// Newest known era of the store.
    pub store_era: sync::watch::Sender<lease_ids::Era>,
    /// The shutdown of this process, once it has been requested.
    pub shutdown: cell::Cell<Option<shutdown::Shutdown>>,
    /// Whether requests that still run get their final response because the process exits.
    pub exiting: sync::watch::Sender<bool>,
    /// Number of client connections that have carried a request.
    pub used_connections: cell::Cell<u32>,
    /// Durations of the requests of each service that aren't streams.
    pub durations:
        cell::RefCell<collections::HashMap<ids::PoolId, recent_durations::RecentDurations>>,
    /// Number of requests that are being served.
    pub active_requests: cell::Cell<u32>,
    /// Length of all response bodies that are being read, in bytes.
    pub collected_bytes: cell::Cell<usize>,
}

impl State {
    /// Creates the state of a gateway that has not read anything from the store yet.
    #[must_use]
    pub fn new(settings: settings::Settings, codec: codec::Codec, clock: clock::Clock) -> Self {
        let now = clock.now();
        let spread = f64::from(directory::id_hash(&settings.node)) / f64::from(u32::MAX);
        let memory_budget = memory_budget::MemoryBudget::for_process(settings.resources.memory);
        let memory_budget = std_sync::Arc::new(std_sync::Mutex::new(memory_budget));
        Self {
            quarantine: cell::RefCell::new(quarantine::Quarantine::new(spread)),
            answered: cell::RefCell::default(),
            hash_seed: rand::random(),
            news: sync::watch::Sender::new(0),
            backend_limits: cell::RefCell::default(),
            waiting_lines: cell::RefCell::default(),
            withdrawn_zones: cell::RefCell::default(),
            cold_servers: cell::RefCell::default(),
            engine_rooms: cell::RefCell::default(),
            learned_capacities: cell::RefCell::default(),
            memory_budget: memory_budget.clone(),
            clients: clients::Clients::default(),
            told_version: cell::RefCell::default(),
            configuration: cell::RefCell::new(None),
            limits_changed: sync::watch::Sender::default(),
            freshness: cell::RefCell::new(freshness::Freshness::new(settings.revocation_bound)),
            refresh_requested: sync::Notify::new(),
            refresh_finished: sync::Notify::new(),
            directory: cell::RefCell::default(),
            backends_loaded: cell::Cell::new(false),
            engine_partitions: cell::RefCell::default(),
            arrival_rates: cell::RefCell::default(),
            prefill_speeds: cell::RefCell::default(),
            read_segments: cell::RefCell::default(),
            idle_limits: cell::RefCell::default(),
            retry_budget: cell::RefCell::new(retry_budget::RetryBudget::new(settings.retry_budget)),
            usage_counts: cell::RefCell::default(),
            team_names: cell::RefCell::default(),
            median_clock: cell::RefCell::new(median_clock::MedianClock::new(now, clock.wall())),
            peers: cell::RefCell::default(),
            pool: pool::Pool::with_limits(
                connection_limit::max_connections(&settings.resources),
                memory_budget,
            ),
            metrics: metrics::Metrics::new(),
            log_limiter: logs::Limiter::new(),
            capacity_changed: sync::Notify::new(),
            stopping: sync::watch::Sender::new(false),
            membership: cell::RefCell::default(),
            registered: cell::Cell::new(false),
            reporting: sync::watch::Sender::new(None),
            store_era: sync::watch::Sender::new(0),
            shutdown: cell::Cell::new(None),
            exiting: sync::watch::Sender::new(false),
            used_connections: cell::Cell::new(0),
            durations: cell::RefCell::default(),
            active_requests: cell::Cell::new(0),
            collected_bytes: cell::Cell::new(0),
            settings,
            codec,
            clock,
        }
    }

    /// The active configuration, if one has been read.
    #[must_use]
    pub fn configuration(&self) -> Option<rc::Rc<configuration::Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Puts a configuration in force.
    pub fn set_configuration(&self, mut configuration: configuration::Configuration) {
        if self.settings.requires_keys {
            configuration = configuration.with_required_keys();
        }
        let limits = configuration.limits;
        let old = self.configuration.borrow_mut().replace(rc::Rc::new(configuration));
        if old.is_none_or(|old| old.limits != limits) {
            self.limits_changed.send_replace(());
        }
    }

    /// Applies the reloadable settings; returns whether any of them changed.
    pub fn apply_settings(&self, settings: &settings::Settings) -> bool {
        let bound_changed = self.freshness.borrow_mut().set_bound(settings.revocation_bound);
        let budget_changed = self.retry_budget.borrow_mut().set_limits(settings.retry_budget);
        bound_changed || budget_changed
    }

    /// Records the era in a response of the store; returns whether the response is of an older era
    /// than another one, so that its content may be lost.
    pub fn observe_era(&self, era: lease_ids::Era) -> bool {
        let is_newer = self.store_era.send_if_modified(|known| {
            let is_newer = era > *known;
            *known = era.max(*known);
            is_newer
        });
        if is_newer {
            tracing::info!(era, "era of the store");
        }
        era < *self.store_era.borrow()
    }

    /// Whether this process is shutting down.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Waits until the requests that still run get their final response because the process exits.
    pub async fn wait_for_exit(&self) {
        // The sender is part of this state, so it isn't dropped while this waits.
        let _ = self.exiting.subscribe().wait_for(|is_exiting| *is_exiting).await;
    }

    /// How long a request to a service that isn't a stream is likely to take, if any has ended lately.
    #[must_use]
    pub fn likely_duration(&self, service: &str) -> Option<Duration> {
        self.durations.borrow().get(service)?.likely(self.clock.now())
    }

    /// Records how long a request to a service took.
    pub fn record_duration(&self, service: &str, duration: Duration) {
        let mut durations = self.durations.borrow_mut();
        let durations = durations.entry(service.to_owned()).or_default();
        durations.observe(duration, self.clock.now());
    }

    /// Whether the load balancer should send new clients here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.backends_loaded.get()
            && self.configuration.borrow().is_some()
            && self.freshness.borrow().may_trust_keys(self.clock.now())
            && !self.has_outdated_configuration()
    }

    /// Number of live gateways, including this one.
    #[must_use]
    pub fn gateway_count(&self) -> usize {
        self.peers.borrow().live_count(&self.settings.node, self.clock.now()) + 1
    }

    /// The fleet that shares the retry budget.
    #[must_use]
    pub fn fleet(&self) -> retry_budget::Fleet {
        let window = self.retry_budget.borrow().window();
        let standing = self.membership.borrow().standing(window, self.clock.now());
        retry_budget::Fleet { gateways: self.peers.borrow().known_count() + 1, standing }
    }

    /// Whether this gateway may send a request that shows whether a suspect still crashes backend
    /// servers: it is its turn, the others that run have heard of it, and what they find reaches it.
    #[must_use]
    pub fn may_try(&self, suspect: &quarantine::SuspectId) -> bool {
        let now = self.clock.now();
        let has_joined = self.membership.borrow().has_joined(turn::TURN, now);
        let (node, peers) = (&self.settings.node, self.peers.borrow());
        has_joined
            && !peers.is_cut_off(now)
            && turn::is_turn(suspect, node, peers.names(), self.time_of_day())
    }

    /// Share of the limit of a backend server that this gateway uses.
    #[must_use]
    pub fn limit_share(&self, backend: u32) -> Option<f64> {
        let standing = self.membership.borrow().standing(backend_limit::WINDOW, self.clock.now());
        backend_limit::share(backend, &self.settings.node, self.peers.borrow().names(), standing)
    }

    /// Share of the pace of a cold backend server that this gateway uses, if up to `holders` gateways
    /// use an equal one.
    #[must_use]
    pub fn cold_share(&self, backend: u32, holders: usize) -> Option<f64> {
        let span = cold_server::WINDOW + cold_server::PLACE_VALIDITY;
        let standing = self.membership.borrow().standing(span, self.clock.now());
        let peers = self.peers.borrow();
        holder::share(backend, holders, &self.settings.node, peers.names(), standing)
    }

    /// Remembers the name of a team, so that its counts can be reported; returns its hash.
    fn remember_team(&self, team: &str) -> usage_counts::TeamHash {
        let hash = usage_counts::team_hash(team);
        if !self.team_names.borrow().contains_key(&hash) {
            self.team_names.borrow_mut().insert(hash, team.to_owned());
        }
        hash
    }

    /// Remembers the names of teams, so that their counts can be reported.
    pub fn remember_teams<'a>(&self, teams: impl IntoIterator<Item = &'a ids::TeamId>) {
        for team in teams {
            self.remember_team(team);
        }
    }

    /// Names of the teams of some counts that the configuration in force doesn't list, so that other
    /// gateways may not know them.
    #[must_use]
    pub fn unlisted_teams(&self, counts: &[peers::UsageCount]) -> Vec<ids::TeamId> {
        let configuration = self.configuration();
        let is_listed = |name: &ids::TeamId| {
            configuration.as_ref().is_some_and(|listing| listing.team_names().contains(name))
        };
        let hashes: collections::BTreeSet<_> = counts.iter().map(|count| count.team).collect();
        let names = self.team_names.borrow();
        let unlisted = hashes.iter().filter_map(|hash| names.get(hash));
        unlisted.filter(|name| !is_listed(name)).cloned().collect()
    }

    /// Counts a request of a team whose execution began `elapsed` before now.
    pub fn count_usage(&self, team: &str, elapsed: Duration) {
        let hash = self.remember_team(team);
        let started = self.time_of_day().saturating_sub(elapsed);
        let window = usage_counts::window_at(started, self.settings.usage_window);
        self.usage_counts.borrow_mut().increment(window, hash);
    }

    /// Wakes the tasks that pass on news.
    pub fn announce_news(&self) {
        self.news.send_modify(|changes| *changes += 1);
    }

    /// Whether the store has lost the newest configuration: it was asked after another gateway told
    /// of a newer one than it has. Keys that this one withdrew must not be accepted.
    #[must_use]
    pub fn has_outdated_configuration(&self) -> bool {
        let Some(configuration) = self.configuration() else { return false };
        let confirmed_at = self.freshness.borrow().confirmed_at();
        let told = self.told_version.borrow();
        told.is_lost(configuration.version, confirmed_at, self.clock.now())
    }

    /// Estimate of the time of day, since 1970.
    #[must_use]
    pub fn time_of_day(&self) -> Duration {
        self.median_clock.borrow().time_at(self.clock.now())
    }

    /// Current time of the runtime's clock, which stands still while the VM is suspended.
    #[must_use]
    pub fn now(&self) -> time::Instant {
        time::Instant::now()
    }
}
