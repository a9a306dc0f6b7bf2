//! What the parts of one gateway share.

use std::cell;
use std::collections;
use std::rc;
use std::time::Duration;

use azuregap_core::ids;
use tokio::sync;
use tokio::time;

use crate::clock;
use crate::codec;
use crate::configuration;
use crate::decision::arrival_rate;
use crate::decision::engine_partition;
use crate::decision::freshness;
use crate::decision::idle_limit;
use crate::decision::median_clock;
use crate::decision::prefill_speed;
use crate::decision::retry_budget;
use crate::decision::usage_counts;
use crate::directory;
use crate::logs;
use crate::metrics;
use crate::peers;
use crate::proxy::pool;
use crate::settings;

/// Which new requests a gateway serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// All.
    Serving,
    /// Those that end soon: a stream could be cut by the end of the process.
    Finishing,
    /// None.
    Ending,
}

impl Phase {
    /// Whether a new request is served.
    #[must_use]
    pub const fn serves(self, streams: bool) -> bool {
        match self {
            Self::Serving => true,
            Self::Finishing => !streams,
            Self::Ending => false,
        }
    }
}

/// What the parts of one gateway share; all run on one thread.
#[derive(Debug)]
pub struct State {
    /// Settings of this process.
    pub settings: settings::Settings,
    /// Translation of the deployment's names.
    pub codec: codec::Codec,
    /// Clocks of this process.
    pub clock: clock::Clock,
    /// Newest configuration.
    pub configuration: cell::RefCell<Option<rc::Rc<configuration::Configuration>>>,
    /// Age of the configuration.
    pub freshness: cell::RefCell<freshness::Freshness>,
    /// Told when a denial would rest on an old configuration.
    pub doubted: sync::Notify,
    /// Told when the store answered a question on the configuration, or failed to.
    pub confirmed: sync::Notify,
    /// Backend servers.
    pub directory: cell::RefCell<directory::Directory>,
    /// Whether the backend servers were read since the start.
    pub listed: cell::Cell<bool>,
    /// Division of each service's model engines.
    pub divisions:
        cell::RefCell<collections::HashMap<ids::PoolId, engine_partition::EnginePartition>>,
    /// Own requests to each service that are short and not bound to a home.
    pub arrivals: cell::RefCell<collections::HashMap<ids::PoolId, arrival_rate::ArrivalRate>>,
    /// Speed of each service's model engines.
    pub paces: cell::RefCell<collections::HashMap<ids::PoolId, prefill_speed::PrefillSpeed>>,
    /// Losses on connections to each service that had rested.
    pub rests: cell::RefCell<collections::HashMap<ids::PoolId, idle_limit::IdleLimit>>,
    /// Budget of repeats.
    pub repeats: cell::RefCell<retry_budget::RetryBudget>,
    /// Own counts of requests that began to run.
    pub windows: cell::RefCell<usage_counts::UsageCounts>,
    /// Names of the teams whose hashes may be in counts.
    pub teams: cell::RefCell<collections::HashMap<usage_counts::TeamHash, ids::TeamId>>,
    /// Estimate of the true time.
    pub true_time: cell::RefCell<median_clock::MedianClock>,
    /// Other gateways.
    pub peers: cell::RefCell<peers::Peers>,
    /// Connections to backend servers.
    pub pool: pool::Pool,
    /// Counters and histograms.
    pub metrics: metrics::Metrics,
    /// Bound on the lines written.
    pub lines: logs::Lines,
    /// Wakes requests that wait for a backend server.
    pub changed: sync::Notify,
    /// Whether this process is stopping.
    pub stopping: sync::watch::Sender<bool>,
    /// Whether this gateway is entered in the list of gateways.
    pub entered: cell::Cell<bool>,
    /// Which new requests are still served.
    pub phase: cell::Cell<Phase>,
    /// Requests that are being served.
    pub active: cell::Cell<u32>,
}

impl State {
    /// State of a gateway that knows nothing yet.
    #[must_use]
    pub fn new(settings: settings::Settings, codec: codec::Codec, clock: clock::Clock) -> Self {
        let now = clock.now();
        Self {
            configuration: cell::RefCell::new(None),
            freshness: cell::RefCell::new(freshness::Freshness::new(settings.revocation)),
            doubted: sync::Notify::new(),
            confirmed: sync::Notify::new(),
            directory: cell::RefCell::default(),
            listed: cell::Cell::new(false),
            divisions: cell::RefCell::default(),
            arrivals: cell::RefCell::default(),
            paces: cell::RefCell::default(),
            rests: cell::RefCell::default(),
            repeats: cell::RefCell::new(retry_budget::RetryBudget::new(settings.repeats)),
            windows: cell::RefCell::default(),
            teams: cell::RefCell::default(),
            true_time: cell::RefCell::new(median_clock::MedianClock::new(now, clock.wall())),
            peers: cell::RefCell::default(),
            pool: pool::Pool::new(),
            metrics: metrics::Metrics::new(),
            lines: logs::Lines::new(),
            changed: sync::Notify::new(),
            stopping: sync::watch::Sender::new(false),
            entered: cell::Cell::new(false),
            phase: cell::Cell::new(Phase::Serving),
            active: cell::Cell::new(0),
            settings,
            codec,
            clock,
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<rc::Rc<configuration::Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Takes the bounds of settings that were read again; whether any changed.
    pub fn apply_bounds(&self, settings: &settings::Settings) -> bool {
        let revocation = self.freshness.borrow_mut().set_bound(settings.revocation);
        let repeats = self.repeats.borrow_mut().set_limits(settings.repeats);
        revocation || repeats
    }

    /// Whether this process is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Whether new callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.listed.get()
            && self.configuration.borrow().is_some()
            && self.freshness.borrow().may_trust_keys(self.clock.now())
    }

    /// Gateways that are alive, this one included.
    #[must_use]
    pub fn gateways(&self) -> usize {
        self.peers.borrow().live_count(self.clock.now()) + 1
    }

    /// Counts a request of a team that began to run `ago` before now.
    pub fn count_usage(&self, team: &str, ago: Duration) {
        let hash = usage_counts::team_hash(team);
        if !self.teams.borrow().contains_key(&hash) {
            self.teams.borrow_mut().insert(hash, team.to_owned());
        }
        let began = self.true_time.borrow().time_at(self.clock.now()).saturating_sub(ago);
        let window = usage_counts::window_at(began, self.settings.window);
        self.windows.borrow_mut().increment(window, hash);
    }

    /// Now, on the runtime's clock.
    #[must_use]
    pub fn now(&self) -> time::Instant {
        time::Instant::now()
    }
}
