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
use crate::decision::arrivals;
use crate::decision::division;
use crate::decision::freshness;
use crate::decision::pace;
use crate::decision::repeats;
use crate::decision::rest;
use crate::decision::true_time;
use crate::decision::windows;
use crate::directory;
use crate::logs;
use crate::metrics;
use crate::peers;
use crate::proxy::pool;
use crate::settings;

/// Which new requests a gateway serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// All.
    Open,
    /// Those that end soon: a stream could be cut by the end of the process.
    NoStreams,
    /// None.
    Closed,
}

impl Admission {
    /// Whether a new request is served.
    #[must_use]
    pub const fn admits(self, is_stream: bool) -> bool {
        match self {
            Self::Open => true,
            Self::NoStreams => !is_stream,
            Self::Closed => false,
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
    pub refresh_requested: sync::Notify,
    /// Told when the store answered a question on the configuration, or failed to.
    pub refresh_finished: sync::Notify,
    /// Backend servers.
    pub directory: cell::RefCell<directory::Directory>,
    /// Whether the backend servers were read since the start.
    pub backends_loaded: cell::Cell<bool>,
    /// Division of each service's model engines.
    pub divisions: cell::RefCell<collections::HashMap<ids::PoolId, division::Division>>,
    /// Own requests to each service that are short and not bound to a home.
    pub arrivals: cell::RefCell<collections::HashMap<ids::PoolId, arrivals::Arrivals>>,
    /// Speed of each service's model engines.
    pub paces: cell::RefCell<collections::HashMap<ids::PoolId, pace::Pace>>,
    /// Losses on connections to each service that had rested.
    pub rests: cell::RefCell<collections::HashMap<ids::PoolId, rest::Rest>>,
    /// Budget of repeats.
    pub repeats: cell::RefCell<repeats::Repeats>,
    /// Own counts of requests that began to run.
    pub windows: cell::RefCell<windows::Windows>,
    /// Names of the teams whose hashes may be in counts.
    pub team_names: cell::RefCell<collections::HashMap<windows::TeamHash, ids::TeamId>>,
    /// Estimate of the true time.
    pub true_time: cell::RefCell<true_time::TrueTime>,
    /// Other gateways.
    pub peers: cell::RefCell<peers::Peers>,
    /// Connections to backend servers.
    pub pool: pool::Pool,
    /// Counters and histograms.
    pub metrics: metrics::Metrics,
    /// Bound on the lines written.
    pub log_limiter: logs::Limiter,
    /// Wakes requests that wait for a backend server.
    pub capacity_changed: sync::Notify,
    /// Whether this process is stopping.
    pub stopping: sync::watch::Sender<bool>,
    /// Whether this gateway is entered in the list of gateways.
    pub registered: cell::Cell<bool>,
    /// Which new requests are still served.
    pub admission: cell::Cell<Admission>,
    /// Requests that are being served.
    pub active_requests: cell::Cell<u32>,
}

impl State {
    /// State of a gateway that knows nothing yet.
    #[must_use]
    pub fn new(settings: settings::Settings, codec: codec::Codec, clock: clock::Clock) -> Self {
        let now = clock.now();
        Self {
            configuration: cell::RefCell::new(None),
            freshness: cell::RefCell::new(freshness::Freshness::new(settings.revocation_bound)),
            refresh_requested: sync::Notify::new(),
            refresh_finished: sync::Notify::new(),
            directory: cell::RefCell::default(),
            backends_loaded: cell::Cell::new(false),
            divisions: cell::RefCell::default(),
            arrivals: cell::RefCell::default(),
            paces: cell::RefCell::default(),
            rests: cell::RefCell::default(),
            repeats: cell::RefCell::new(repeats::Repeats::new(settings.retry_budget)),
            windows: cell::RefCell::default(),
            team_names: cell::RefCell::default(),
            true_time: cell::RefCell::new(true_time::TrueTime::new(now, clock.wall())),
            peers: cell::RefCell::default(),
            pool: pool::Pool::new(),
            metrics: metrics::Metrics::new(),
            log_limiter: logs::Limiter::new(),
            capacity_changed: sync::Notify::new(),
            stopping: sync::watch::Sender::new(false),
            registered: cell::Cell::new(false),
            admission: cell::Cell::new(Admission::Open),
            active_requests: cell::Cell::new(0),
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
    pub fn apply_settings(&self, settings: &settings::Settings) -> bool {
        let revocation = self.freshness.borrow_mut().set_bound(settings.revocation_bound);
        let repeats = self.repeats.borrow_mut().set_terms(settings.retry_budget);
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
            && self.backends_loaded.get()
            && self.configuration.borrow().is_some()
            && self.freshness.borrow().may_trust_keys(self.clock.now())
    }

    /// Gateways that are alive, this one included.
    #[must_use]
    pub fn gateway_count(&self) -> usize {
        self.peers.borrow().alive(self.clock.now()) + 1
    }

    /// Counts a request of a team that began to run `ago` before now.
    pub fn count_usage(&self, team: &str, ago: Duration) {
        let hash = windows::team_hash(team);
        if !self.team_names.borrow().contains_key(&hash) {
            self.team_names.borrow_mut().insert(hash, team.to_owned());
        }
        let began = self.true_time.borrow().at(self.clock.now()).saturating_sub(ago);
        let window = windows::window_at(began, self.settings.usage_window);
        self.windows.borrow_mut().count(window, hash);
    }

    /// Now, on the runtime's clock.
    #[must_use]
    pub fn now(&self) -> time::Instant {
        time::Instant::now()
    }
}
