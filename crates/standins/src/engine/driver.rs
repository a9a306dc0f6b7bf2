//! The engine: steps of the batch on the runtime's clock.

use std::collections;
use std::fmt;
use std::sync;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use super::batch;
use super::counters;
use super::faults;
use super::load;
use super::orders;
use super::request;
use super::settings;

/// A running engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    settings: settings::Settings,
    state: sync::Arc<sync::Mutex<State>>,
    wake: sync::Arc<Notify>,
    faults: sync::Arc<watch::Sender<faults::EngineFaults>>,
}

struct State {
    batch: batch::Batch,
    orders: orders::Orders,
    loads: collections::VecDeque<(time::Instant, load::EngineLoad)>,
}

impl fmt::Debug for Engine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Engine").field("settings", &self.settings).finish_non_exhaustive()
    }
}

impl Engine {
    /// Starts an engine on the present runtime.
    #[must_use]
    pub fn start(settings: settings::Settings) -> Self {
        let orders = orders::Orders::new(settings.models.clone());
        let batch = batch::Batch::new(settings.clone());
        let state = State { batch, orders, loads: collections::VecDeque::new() };
        let engine = Self {
            settings,
            state: sync::Arc::new(sync::Mutex::new(state)),
            wake: sync::Arc::default(),
            faults: sync::Arc::new(watch::channel(faults::EngineFaults::default()).0),
        };
        tokio::spawn(engine.clone().drive());
        engine
    }

    /// Starts a run and gives its events. Dropping them cancels the run.
    #[must_use]
    pub fn submit(&self, job: request::Job) -> mpsc::UnboundedReceiver<request::Event> {
        let events = self.with(|state| state.batch.push(job));
        self.wake.notify_one();
        events
    }

    /// Ends every run of a request; answers how many there were.
    #[must_use]
    pub fn cancel(&self, id: &str) -> usize {
        self.with(|state| state.batch.cancel(id))
    }

    /// Replaces the fault switches.
    pub fn set_faults(&self, faults: faults::EngineFaults) {
        self.with(|state| {
            state.batch.faults = faults.clone();
            if faults.crash {
                state.batch.crash();
            }
        });
        self.faults.send_replace(faults);
        self.wake.notify_one();
    }

    /// Waits until the engine is not frozen; answers whether it runs at all.
    pub async fn is_up(&self) -> bool {
        let mut watch = self.faults.subscribe();
        let thawed = watch.wait_for(|faults| !faults.freeze).await;
        thawed.is_ok_and(|faults| !faults.crash)
    }

    /// Takes one strike of the error fault; answers whether there was one.
    #[must_use]
    pub fn fails(&self) -> bool {
        let mut fails = false;
        self.faults.send_modify(|faults| fails = faults.error.strike());
        fails
    }

    /// What the engine did.
    #[must_use]
    pub fn counters(&self) -> counters::Counters {
        self.with(|state| state.batch.counters.clone())
    }

    /// The load now.
    #[must_use]
    pub fn load(&self) -> load::EngineLoad {
        self.with(|state| state.batch.load())
    }

    /// The load as it is reported: as old as the settings say.
    #[must_use]
    pub fn reported_load(&self) -> load::EngineLoad {
        self.with(|state| {
            let aged = |(at, _): &(time::Instant, _)| at.elapsed() >= self.settings.load_lag;
            while state.loads.get(1).is_some_and(aged) {
                state.loads.pop_front();
            }
            let first = state.loads.front().filter(|entry| aged(entry));
            first.map_or_else(|| self.empty(), |(_, load)| *load)
        })
    }

    /// Whether the engine has a model.
    #[must_use]
    pub fn has_model(&self, name: &str) -> bool {
        let loaded = self.with(|state| state.orders.models.iter().any(|model| model == name));
        self.settings.models.is_empty() || loaded
    }

    /// Carries an order out; answers whether it was taken, now or earlier.
    pub async fn order(&self, order: orders::EngineOrder) -> bool {
        let checks = self.settings.checks_fence;
        let (refuse, act) = self.with(|state| {
            let refuse = checks && state.orders.is_old(&order);
            (refuse, state.orders.note(&order, refuse))
        });
        if act {
            time::sleep(self.settings.load_time).await;
            self.with(|state| state.orders.carry_out(order.action));
        }
        !refuse
    }

    /// Every order that came, in the order of arrival.
    #[must_use]
    pub fn order_log(&self) -> Vec<orders::OrderEntry> {
        self.with(|state| state.orders.log.clone())
    }

    /// The role the engine was last ordered to take; empty when none was ordered.
    #[must_use]
    pub fn role(&self) -> String {
        self.with(|state| state.orders.role.clone())
    }

    /// Blocks of the prefix cache, least recently used first.
    #[must_use]
    pub fn export_cache(&self) -> Vec<u64> {
        self.with(|state| state.batch.cache.blocks())
    }

    /// Takes blocks into the prefix cache.
    pub fn import_cache(&self, blocks: impl IntoIterator<Item = u64>) {
        self.with(|state| state.batch.cache.insert(blocks));
    }

    fn empty(&self) -> load::EngineLoad {
        load::EngineLoad { slots: self.settings.slots, ..Default::default() }
    }

    fn with<T>(&self, look: impl FnOnce(&mut State) -> T) -> T {
        look(&mut self.state.lock().expect("no user of the state panicked"))
    }

    async fn drive(self) {
        let mut due = time::Instant::now();
        loop {
            self.is_up().await;
            let Some(length) = self.with(State::begin) else {
                self.wake.notified().await;
                due = time::Instant::now();
                continue;
            };
            due = due.max(time::Instant::now() - length) + length;
            match length.is_zero() {
                true => tokio::task::yield_now().await,
                false => time::sleep_until(due).await,
            }
            self.is_up().await;
            self.with(State::end);
        }
    }
}

impl State {
    fn begin(&mut self) -> Option<std::time::Duration> {
        let length = self.batch.begin();
        self.loads.push_back((time::Instant::now(), self.batch.load()));
        length
    }

    fn end(&mut self) {
        self.batch.end();
        self.loads.push_back((time::Instant::now(), self.batch.load()));
    }
}
