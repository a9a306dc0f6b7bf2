//! Admits, queues and runs requests and retains their responses. The scheduler alone decides what
//! the backend server runs.

mod messages;
mod run;

use std::collections;
use std::rc;
use std::sync;
use std::time;

use actix::AsyncContext as _;
use actix::fut;
use actix::fut::ActorFutureExt as _;
use azuregap_control::metrics;
use azuregap_control::process;
use azuregap_control::snapshot;
use azuregap_control::usage;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use azuregap_core::settings;
use azuregap_policy::queue;
use azuregap_wire::control;
use azuregap_wire::frame;
use azuregap_wire::run as wire_run;

pub use messages::Cancel;
pub use messages::Drain;
pub use messages::ExecuteOrder;
pub use messages::Resume;
pub use messages::Submit;

use crate::backend;
use crate::orders;
use crate::response;

/// Load of the agent, shared with the connections, which send it in frames.
pub type SharedLoad = sync::Arc<sync::Mutex<frame::Load>>;

/// How long an id that must not run again is remembered. Longer than TCP retransmits, so that a
/// request that arrives late on an old connection does not run.
const TOMBSTONE_RETENTION: time::Duration = time::Duration::from_secs(20 * 60);

/// Interval between reports of the queue metrics.
const METRICS_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interval between checks for expired deadlines and abandoned runs.
const SWEEP_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// What the scheduler needs from the other services of its process.
#[derive(Clone, Debug)]
pub struct Dependencies {
    /// Settings of the agent.
    pub settings: settings::AgentSettings,
    /// Identity of this process.
    pub process: process::Process,
    /// The configuration in force.
    pub configuration: snapshot::Handle,
    /// Recorder of usage.
    pub recorder: usage::Recorder,
    /// Client of the backend server.
    pub backend: backend::BackendClient,
    /// Load reported to entries.
    pub load: SharedLoad,
    /// Admission and outcomes of orders.
    pub orders: orders::OrderTracker,
    /// Metrics client.
    pub metrics: metrics::Metrics,
}

/// Actor that owns the request queue and the runs of one agent.
#[derive(Debug)]
pub struct Scheduler {
    dependencies: Dependencies,
    windows: usage::Windows,
    queue: queue::Queue<()>,
    /// Version of the configuration that was applied to the queue.
    version: ids::Version,
    runs: collections::HashMap<ids::RequestId, run::Run>,
    /// Ids that must not run again.
    tombstones: collections::HashMap<ids::RequestId, run::Tombstone>,
    /// Held while an order executes: orders reach the backend server one at a time, as admitted.
    order_lock: rc::Rc<tokio::sync::Mutex<()>>,
    /// Whether a tombstone has expired, so that an unknown id may have run.
    history_lost: bool,
    stopping: bool,
}

impl Scheduler {
    /// Creates a scheduler for the backend server named in the settings.
    #[must_use]
    pub fn new(dependencies: Dependencies) -> Self {
        let settings = &dependencies.settings;
        let queue = queue::Queue::new(queue::Limits::new(settings.slots, settings.queue));
        let windows = usage::Windows::system(settings.window);
        let (runs, tombstones) = (collections::HashMap::new(), collections::HashMap::new());
        Self {
            dependencies,
            windows,
            queue,
            version: 0,
            runs,
            tombstones,
            order_lock: rc::Rc::default(),
            history_lost: false,
            stopping: false,
        }
    }

    const fn incarnation(&self) -> ids::Incarnation {
        self.dependencies.process.peer.incarnation
    }

    /// Applies the tiers, floors and weights of the current configuration if its version changed.
    fn apply_configuration(&mut self) {
        let snapshot = self.dependencies.configuration.load();
        if snapshot.version == self.version {
            return;
        }
        self.version = snapshot.version;
        self.queue.set_classes(&snapshot.intent.classes);
        self.queue.set_teams(&snapshot.intent.teams);
    }

    fn update_load(&self) {
        let unfinished = self.runs.values().filter(|run| !run.is_ended());
        let load = frame::Load {
            running: self.queue.running() as u32,
            waiting: self.queue.waiting() as u32,
            slots: self.dependencies.settings.slots,
            backlog: unfinished.map(|run| run.cost).sum(),
        };
        *self.dependencies.load.lock().unwrap_or_else(sync::PoisonError::into_inner) = load;
    }

    /// Checks whether the request may be queued.
    fn check_admission(&self, request: &wire_run::RunRequest) -> Result<(), refusal::Refusal> {
        let refuse = |code, text: &str| Err(refusal::Refusal::not_run(code, text));
        if request.incarnation != self.incarnation() {
            return refuse(code::Code::RunUnknown, "the agent was restarted");
        }
        match self.tombstones.get(&request.id) {
            Some(tombstone) if tombstone.ran => {
                let text = "the request ran before; its answer is not kept any more";
                return Err(refusal::Refusal::may_have_run(code::Code::OutcomeUnknown, text));
            }
            Some(_) => {
                return refuse(
                    code::Code::RunUnknown,
                    "the request was given up before it arrived",
                );
            }
            None => {}
        }
        let backend = &self.dependencies.settings.backend;
        if self.stopping || self.dependencies.configuration.load().intent.is_leaving(backend) {
            return refuse(code::Code::Leaving, "the backend server takes no new work");
        }
        if self.dependencies.recorder.is_full() {
            return refuse(code::Code::StoreUnavailable, "too much usage is not durable yet");
        }
        Ok(())
    }

    fn submit(
        &mut self,
        request: wire_run::RunRequest,
        ctx: &mut actix::Context<Self>,
    ) -> Result<sync::Arc<response::ResponseBuffer>, refusal::Refusal> {
        if let Some(run) = self.runs.get(&request.id) {
            return Ok(run.response.clone());
        }
        self.check_admission(&request)?;
        self.apply_configuration();
        let now = tokio::time::Instant::now();
        let id = request.id;
        let job = queue::Job::new(id, request.class.as_str(), request.team.as_str())
            .tier(request.tier)
            .cost(request.cost)
            .deadline(now + request.deadline);
        let admission = self.queue.offer(now, job, ());
        for dropped in admission.shed {
            self.fail_waiting(dropped.job.id, dropped.refusal);
        }
        let starts_now = match admission.decision {
            queue::Decision::Run(()) => true,
            queue::Decision::Wait => false,
            queue::Decision::Refuse { refusal, item: () } => {
                self.update_load();
                return Err(refusal);
            }
        };
        let run = run::Run::new(request);
        let response = run.response.clone();
        self.runs.insert(id, run);
        if starts_now {
            self.start(id, ctx);
        }
        self.start_waiting(ctx);
        Ok(response)
    }

    /// Fails a queued request, which never ran.
    fn fail_waiting(&mut self, id: ids::RequestId, refusal: refusal::Refusal) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        tracing::info!(
            request = format!("{id:032x}"),
            team = run.team,
            class = run.class,
            decision = "given_up",
            code = refusal.code.number(),
            not_run = refusal.not_run,
            why = refusal.message,
            "queue decision"
        );
        run.finish(response::Outcome::Failed(refusal));
    }

    fn start_waiting(&mut self, ctx: &mut actix::Context<Self>) {
        while let Some(started) = self.queue.start_next(tokio::time::Instant::now()) {
            self.start(started.job.id, ctx);
        }
        self.update_load();
    }

    fn start(&mut self, id: ids::RequestId, ctx: &mut actix::Context<Self>) {
        let backend = self.dependencies.backend.clone();
        let Some(run) = self.runs.get_mut(&id) else { return };
        let Some(request) = run.take_request() else { return };
        let response = run.response.clone();
        let work = async move { backend.run(&request, &response).await };
        let done =
            fut::wrap_future::<_, Self>(work).map(move |failure, scheduler: &mut Self, ctx| {
                scheduler.finish(id, failure, ctx);
            });
        run.state = run::State::Running(ctx.spawn(done));
    }

    fn finish(
        &mut self,
        id: ids::RequestId,
        failure: Option<refusal::Refusal>,
        ctx: &mut actix::Context<Self>,
    ) {
        if let Some(run) = self.runs.get_mut(&id) {
            let usage = run.response.usage();
            let is_complete = failure.is_none();
            run.finish(match failure {
                None => response::Outcome::Complete(usage),
                Some(refusal) => response::Outcome::Failed(refusal),
            });
            self.queue.finish(id, usage.prompt + usage.output, tokio::time::Instant::now());
            if is_complete {
                self.record_usage(id, usage);
            }
        }
        self.start_waiting(ctx);
    }

    /// Records the usage of a request for billing. A run that failed on the operator's side is not
    /// billed; the agent that finally serves the request bills it.
    fn record_usage(&self, id: ids::RequestId, usage: frame::Usage) {
        let Some(run) = self.runs.get(&id) else { return };
        if run.team.is_empty() {
            return;
        }
        self.dependencies.recorder.record(control::UsageRecord {
            id,
            agent: self.dependencies.process.peer.node.clone(),
            incarnation: self.incarnation(),
            window: self.windows.now(),
            team: run.team.clone(),
            route: run.route.clone(),
            usage,
        });
    }

    /// Cancels a request that no caller waits for. A queued request is dropped; a running
    /// idempotent one is aborted and billed for its usage so far; any other run continues.
    fn cancel(&mut self, id: ids::RequestId, ctx: &mut actix::Context<Self>) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        let text = "nobody waits for the answer";
        match run.state {
            run::State::Waiting(_) => {
                self.queue.cancel(id);
                let refusal = refusal::Refusal::not_run(code::Code::CallerGone, text);
                run.finish(response::Outcome::Failed(refusal));
            }
            run::State::Running(handle) if run.idempotent => {
                ctx.cancel_future(handle);
                let usage = run.response.usage();
                let refusal = refusal::Refusal::may_have_run(code::Code::CallerGone, text);
                run.finish(response::Outcome::Failed(refusal));
                self.queue.finish(id, usage.prompt + usage.output, tokio::time::Instant::now());
                self.record_usage(id, usage);
            }
            run::State::Running(_) | run::State::Ended(_) => return,
        }
        self.start_waiting(ctx);
    }

    /// Fails queued requests past their deadline, cancels abandoned runs, and drops ended runs and
    /// tombstones whose retention is over.
    fn sweep(&mut self, ctx: &mut actix::Context<Self>) {
        let now = tokio::time::Instant::now();
        let keep = self.dependencies.settings.keep;
        self.apply_configuration();
        for dropped in self.queue.expire(now) {
            self.fail_waiting(dropped.job.id, dropped.refusal);
        }
        let count_before = self.tombstones.len();
        self.tombstones.retain(|_, tombstone| now - tombstone.since < TOMBSTONE_RETENTION);
        self.history_lost |= self.tombstones.len() < count_before;
        let tombstones = &mut self.tombstones;
        self.runs.retain(|id, run| {
            let expired = run.is_expired(now, keep);
            if expired {
                tombstones
                    .insert(*id, run::Tombstone { since: now, ran: run.response.may_have_run() });
            }
            !expired
        });
        let unread = self.runs.iter_mut().filter_map(|(id, run)| {
            let abandoned = run.is_abandoned(now, keep);
            abandoned.then_some(*id)
        });
        for id in unread.collect::<Vec<_>>() {
            self.cancel(id, ctx);
        }
        self.start_waiting(ctx);
    }
}

impl Scheduler {
    fn send_metrics(&self) {
        let metrics = &self.dependencies.metrics;
        metrics.gauge("agent.running", self.queue.running() as u64);
        metrics.gauge("agent.waiting", self.queue.waiting() as u64);
        metrics.gauge("agent.unflushed", self.dependencies.recorder.unflushed());
    }
}

impl actix::Actor for Scheduler {
    type Context = actix::Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.update_load();
        ctx.run_interval(SWEEP_INTERVAL, Self::sweep);
        ctx.run_interval(METRICS_INTERVAL, |scheduler, _| scheduler.send_metrics());
    }
}
