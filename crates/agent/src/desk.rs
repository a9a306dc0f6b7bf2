//! Takes, queues, runs and keeps requests: the one place that decides what the backend server
//! runs.

use std::collections;
use std::sync;
use std::time;

use actix::AsyncContext as _;
use actix::fut;
use actix::fut::ActorFutureExt as _;
use azuregap_control::snapshot;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use azuregap_core::settings;
use azuregap_wire::frame;
use azuregap_wire::run;

use crate::answer;
use crate::engine;

/// Load shared with the connections, which put it on frames.
pub type SharedLoad = sync::Arc<sync::Mutex<frame::Load>>;

/// How long an id that was asked for in vain stays refused. It is longer than a TCP connection
/// retransmits, so that a request that arrives late on an old connection is not run.
const REFUSED_KEEP: time::Duration = time::Duration::from_secs(20 * 60);

/// Time between two looks at deadlines and abandoned runs.
const SWEEP: time::Duration = time::Duration::from_millis(100);

/// Where a run stands.
#[derive(Debug)]
enum State {
    Waiting(Box<run::RunRequest>),
    Running(actix::SpawnHandle),
    Ended(tokio::time::Instant),
}

#[derive(Debug)]
struct Run {
    answer: sync::Arc<answer::Answer>,
    idempotent: bool,
    state: State,
    /// Since when no connection reads the answer.
    unread: Option<tokio::time::Instant>,
}

/// The actor that holds the queue and the runs of one agent.
#[derive(Debug)]
pub struct Desk {
    settings: settings::AgentSettings,
    incarnation: ids::Incarnation,
    configuration: snapshot::Handle,
    engine: engine::Engine,
    runs: collections::HashMap<ids::RequestId, Run>,
    refused: collections::HashMap<ids::RequestId, tokio::time::Instant>,
    waiting: collections::VecDeque<ids::RequestId>,
    load: SharedLoad,
    stopping: bool,
}

impl Desk {
    /// A desk for the backend server named in `settings`.
    #[must_use]
    pub fn new(
        settings: settings::AgentSettings,
        incarnation: ids::Incarnation,
        configuration: snapshot::Handle,
        engine: engine::Engine,
        load: SharedLoad,
    ) -> Self {
        Self {
            settings,
            incarnation,
            configuration,
            engine,
            runs: collections::HashMap::new(),
            refused: collections::HashMap::new(),
            waiting: collections::VecDeque::new(),
            load,
            stopping: false,
        }
    }

    fn running(&self) -> usize {
        self.runs.values().filter(|run| matches!(run.state, State::Running(_))).count()
    }

    fn update_load(&self) {
        let load = frame::Load {
            running: self.running() as u32,
            waiting: self.waiting.len() as u32,
            slots: self.settings.slots,
            backlog: 0,
        };
        *self.load.lock().unwrap_or_else(sync::PoisonError::into_inner) = load;
    }

    /// Whether the request may be taken at all.
    fn admit(&self, request: &run::RunRequest) -> Result<(), refusal::Refusal> {
        if request.incarnation != self.incarnation {
            let text = "the agent was restarted";
            return Err(refusal::Refusal::not_run(code::Code::RunUnknown, text));
        }
        if self.refused.contains_key(&request.id) {
            let text = "the request was given up before it arrived";
            return Err(refusal::Refusal::not_run(code::Code::RunUnknown, text));
        }
        if self.stopping || self.configuration.load().intent.is_leaving(&self.settings.backend) {
            let text = format!("backend server '{}' is leaving", self.settings.backend);
            return Err(refusal::Refusal::not_run(code::Code::Leaving, text));
        }
        Ok(())
    }

    fn submit(
        &mut self,
        request: run::RunRequest,
        ctx: &mut actix::Context<Self>,
    ) -> Result<sync::Arc<answer::Answer>, refusal::Refusal> {
        if let Some(run) = self.runs.get(&request.id) {
            return Ok(run.answer.clone());
        }
        self.admit(&request)?;
        if self.waiting.len() >= self.settings.queue as usize {
            let text = "the queue is full";
            return Err(refusal::Refusal::not_run(code::Code::QueueFull, text));
        }
        let id = request.id;
        let answer = sync::Arc::new(answer::Answer::new(id, request.offset));
        let idempotent = request.idempotent;
        let state = State::Waiting(Box::new(request));
        self.runs.insert(id, Run { answer: answer.clone(), idempotent, state, unread: None });
        self.waiting.push_back(id);
        self.start_next(ctx);
        Ok(answer)
    }

    fn start_next(&mut self, ctx: &mut actix::Context<Self>) {
        while self.running() < self.settings.slots as usize {
            let Some(id) = self.waiting.pop_front() else { break };
            self.start(id, ctx);
        }
        self.update_load();
    }

    fn start(&mut self, id: ids::RequestId, ctx: &mut actix::Context<Self>) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        let placeholder = State::Ended(tokio::time::Instant::now());
        let State::Waiting(request) = std::mem::replace(&mut run.state, placeholder) else {
            return;
        };
        let (engine, answer) = (self.engine.clone(), run.answer.clone());
        let work = async move { engine.run(&request, &answer).await };
        let done = fut::wrap_future::<_, Self>(work).map(move |outcome, desk: &mut Self, ctx| {
            desk.finish(id, outcome, ctx);
        });
        run.state = State::Running(ctx.spawn(done));
    }

    fn finish(
        &mut self,
        id: ids::RequestId,
        outcome: engine::Outcome,
        ctx: &mut actix::Context<Self>,
    ) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.state = State::Ended(tokio::time::Instant::now());
            run.answer.finish(match outcome.failure {
                None => answer::End::Whole(outcome.usage),
                Some(refusal) => answer::End::Failed(refusal),
            });
        }
        self.start_next(ctx);
    }

    fn cancel(&mut self, id: ids::RequestId, ctx: &mut actix::Context<Self>) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        let not_run = match run.state {
            State::Waiting(_) => true,
            State::Running(handle) if run.idempotent => {
                ctx.cancel_future(handle);
                false
            }
            State::Running(_) | State::Ended(_) => return,
        };
        run.state = State::Ended(tokio::time::Instant::now());
        let (code, message) = (code::Code::CallerGone, "nobody waits for it".to_owned());
        let refusal = refusal::Refusal { code, not_run, message, retry_after: None };
        run.answer.finish(answer::End::Failed(refusal));
        self.waiting.retain(|other| *other != id);
        self.start_next(ctx);
    }

    /// Drops what was kept long enough and cancels what nobody reads.
    fn sweep(&mut self, ctx: &mut actix::Context<Self>) {
        let now = tokio::time::Instant::now();
        let keep = self.settings.keep;
        self.refused.retain(|_, since| now - *since < REFUSED_KEEP);
        self.runs.retain(|_, run| !matches!(run.state, State::Ended(at) if now - at >= keep));
        let mut abandoned = Vec::new();
        for (id, run) in &mut self.runs {
            if run.answer.readers() > 0 {
                run.unread = None;
                continue;
            }
            let since = *run.unread.get_or_insert(now);
            if now - since >= keep {
                abandoned.push(*id);
            }
        }
        for id in abandoned {
            self.cancel(id, ctx);
        }
    }
}

impl actix::Actor for Desk {
    type Context = actix::Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        self.update_load();
        ctx.run_interval(SWEEP, Self::sweep);
    }
}

/// Asks for a run; a known id joins the run that exists.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Result<sync::Arc<answer::Answer>, refusal::Refusal>")]
pub struct Submit(pub run::RunRequest);

impl actix::Handler<Submit> for Desk {
    type Result = Result<sync::Arc<answer::Answer>, refusal::Refusal>;

    fn handle(&mut self, Submit(request): Submit, ctx: &mut Self::Context) -> Self::Result {
        let (id, team, class) = (request.id, request.team.clone(), request.class.clone());
        let result = self.submit(request, ctx);
        let refusal = result.as_ref().err();
        tracing::info!(
            request = format!("{id:032x}"),
            team,
            class,
            decision = if refusal.is_some() { "refused" } else { "taken" },
            code = refusal.map(|refusal| refusal.code.number()),
            why = refusal.map(|refusal| refusal.message.as_str()),
            running = self.running(),
            waiting = self.waiting.len(),
            "queue decision"
        );
        result
    }
}

/// Asks for the rest of an answer.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "Result<sync::Arc<answer::Answer>, refusal::Refusal>")]
pub struct Resume(pub run::ResumeRequest);

impl actix::Handler<Resume> for Desk {
    type Result = Result<sync::Arc<answer::Answer>, refusal::Refusal>;

    fn handle(&mut self, Resume(request): Resume, _: &mut Self::Context) -> Self::Result {
        if request.incarnation != self.incarnation {
            let text = "the agent was restarted; what the earlier one ran is not known";
            return Err(refusal::Refusal::may_have_run(code::Code::RunUnknown, text));
        }
        if let Some(run) = self.runs.get(&request.id) {
            return Ok(run.answer.clone());
        }
        self.refused.insert(request.id, tokio::time::Instant::now());
        let text = "the request never arrived and will be refused if it does";
        Err(refusal::Refusal::not_run(code::Code::RunUnknown, text))
    }
}

/// Nobody waits for the request any more.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Cancel(pub ids::RequestId);

impl actix::Handler<Cancel> for Desk {
    type Result = ();

    fn handle(&mut self, Cancel(id): Cancel, ctx: &mut Self::Context) {
        self.cancel(id, ctx);
    }
}

/// Takes no new work from now on; answers when the last run ended.
#[derive(Debug)]
#[derive(actix::Message)]
#[rtype(result = "()")]
pub struct Drain;

impl actix::Handler<Drain> for Desk {
    type Result = actix::ResponseActFuture<Self, ()>;

    fn handle(&mut self, Drain: Drain, _: &mut Self::Context) -> Self::Result {
        self.stopping = true;
        let load = self.load.clone();
        let idle = async move {
            loop {
                let now = *load.lock().unwrap_or_else(sync::PoisonError::into_inner);
                if now.running + now.waiting == 0 {
                    break;
                }
                tokio::time::sleep(SWEEP).await;
            }
        };
        Box::pin(fut::wrap_future::<_, Self>(idle))
    }
}
