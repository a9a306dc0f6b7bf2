//! Sees one job through: attempts, lost connections, resumes and retries.

mod event;
mod outlet;
mod shared;

use std::time;

use azuregap_control::directory;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use azuregap_policy::choice;
use azuregap_policy::retry;
use azuregap_wire::control;
use azuregap_wire::frame;
use azuregap_wire::run;
use tokio::sync::mpsc;

pub use event::Event;
pub use event::Whole;
pub use outlet::MAX_HELD;
pub use shared::Shared;

use crate::claims;
use crate::job;
use crate::link;
use crate::sight;

/// Attempts to reach an agent again that holds an answer.
const RESUMES: u32 = 3;

/// Time between two attempts to reach an agent again.
const RESUME_PAUSE: time::Duration = time::Duration::from_millis(300);

/// How one attempt ended.
#[derive(Debug)]
enum Attempt {
    /// The answer is whole and was passed on.
    Done,
    /// Refused or failed; the refusal tells whether anything ran.
    Refused(refusal::Refusal),
    /// Whether anything ran, or how it ended, is not known.
    Lost(String),
    /// The caller went away.
    CallerGone,
}

/// How the single attempt of a claimed job ended.
#[derive(Debug)]
pub enum Once {
    /// It ran; this is the whole answer, and the caller has it.
    Whole(Whole),
    /// It certainly did not run.
    NotRun(refusal::Refusal),
    /// What became of it is not known.
    Lost,
}

/// A job under way.
#[derive(Debug)]
pub struct Dispatch {
    shared: Shared,
    clients: link::Clients,
    job: job::Job,
    outlet: outlet::Outlet,
}

impl Dispatch {
    /// A job that tells its events to `out`.
    #[must_use]
    pub fn new(
        shared: Shared,
        clients: link::Clients,
        job: job::Job,
        out: mpsc::Sender<Event>,
    ) -> Self {
        let outlet = outlet::Outlet::new(out, claim_key(&job).is_some());
        Self { shared, clients, job, outlet }
    }

    /// Runs the job to its end.
    pub async fn run(mut self, stores: claims::Stores) {
        if let Err(refusal) = self.shared.router.admit(&self.job.team) {
            self.shared.metrics.count("requests", &self.job.class.name, refusal.code.number());
            self.outlet.fail(refusal).await;
            return;
        }
        let failure = match claim_key(&self.job) {
            Some(key) => claims::run(&mut self, &stores, &key).await,
            None => {
                let deadline = self.job.deadline;
                let end = tokio::time::timeout_at(deadline, self.attempts()).await;
                end.unwrap_or_else(|_| Some(self.late()))
            }
        };
        self.shared.router.release(&self.job.team);
        let code = failure.as_ref().map_or(0, |refusal| refusal.code.number());
        self.shared.metrics.count("requests", &self.job.class.name, code);
        if let Some(refusal) = failure {
            self.outlet.fail(refusal).await;
        }
    }

    /// The job.
    #[must_use]
    pub const fn job(&self) -> &job::Job {
        &self.job
    }

    /// HTTP clients towards agents.
    #[must_use]
    pub const fn clients(&self) -> &link::Clients {
        &self.clients
    }

    /// Request id as callers and logs see it.
    #[must_use]
    pub fn id_text(&self) -> String {
        format!("{:032x}", self.job.id)
    }

    /// The agent called `node`, if it is known.
    #[must_use]
    pub fn agent(&self, node: &str) -> Option<directory::Agent> {
        self.shared.router.agent(node)
    }

    /// Chooses an agent, leaving out those in `tried`.
    ///
    /// # Errors
    ///
    /// A refusal, nothing run, when no agent can take the job.
    pub fn choose(&self, tried: &[ids::NodeId]) -> Result<directory::Agent, refusal::Refusal> {
        self.shared.follow();
        let (agent, choice) = self.shared.router.choose(&self.job, tried)?;
        tracing::info!(
            request = self.id_text(),
            team = self.job.team,
            class = self.job.class.name,
            route = self.job.route.name,
            decision = "chosen",
            agent = agent.node,
            zone = agent.zone,
            why = ?choice.reason,
            fill = choice.fill,
            other = choice.other,
            eligible = choice.eligible,
            left_out = choice.left_out,
            "routing decision"
        );
        Ok(agent)
    }

    /// Takes back a choice that came to nothing.
    pub fn withdraw(&self, agent: &directory::Agent) {
        self.shared.router.observe(agent, choice::Outcome::Withdrawn);
    }

    /// Another agent for a claimed job that was refused, if the retry policy allows one.
    pub async fn next_agent(
        &self,
        refusal: &refusal::Refusal,
        tried: &[ids::NodeId],
    ) -> Option<directory::Agent> {
        match self.verdict(refusal.clone(), tried.len()) {
            retry::Verdict::Retry { after } => {
                tokio::time::sleep(after).await;
                self.choose(tried).ok()
            }
            retry::Verdict::GiveUp { .. } => None,
        }
    }

    /// Makes the single attempt of a claimed job.
    pub async fn once(&mut self, agent: &directory::Agent) -> Once {
        self.outlet.restart();
        let deadline = self.job.deadline;
        if tokio::time::Instant::now() >= deadline {
            let text = "the deadline passed before the request was sent";
            return Once::NotRun(refusal::Refusal::not_run(code::Code::DeadlinePassed, text));
        }
        let attempt = tokio::time::timeout_at(deadline, self.attempt(agent)).await;
        match attempt {
            Ok(Attempt::Done) => self.outlet.take_whole().map_or(Once::Lost, Once::Whole),
            Ok(Attempt::Refused(refusal)) if refusal.not_run => {
                self.log_failure(agent, &refusal);
                Once::NotRun(refusal)
            }
            Ok(Attempt::Refused(_) | Attempt::Lost(_) | Attempt::CallerGone) | Err(_) => Once::Lost,
        }
    }

    /// Gives the caller the answer of an earlier request.
    pub async fn repeat(&self, whole: Whole) {
        tracing::info!(request = self.id_text(), decision = "repeated", "routing decision");
        self.outlet.repeat(whole).await;
    }

    fn late(&self) -> refusal::Refusal {
        let code = if self.job.route.idempotent {
            code::Code::DeadlinePassed
        } else {
            code::Code::OutcomeUnknown
        };
        refusal::Refusal::may_have_run(code, "the deadline passed")
    }

    /// Tries agents until one gave the answer; gives the refusal if none did.
    async fn attempts(&mut self) -> Option<refusal::Refusal> {
        let mut tried = Vec::new();
        let mut last = None;
        let mut ran = false;
        loop {
            let agent = match self.choose(&tried) {
                Ok(agent) => agent,
                Err(refusal) => return Some(last.unwrap_or(refusal)),
            };
            tried.push(agent.node.clone());
            let mut refusal = match self.attempt(&agent).await {
                Attempt::Done => return None,
                Attempt::CallerGone => {
                    self.cancel(&agent).await;
                    return None;
                }
                Attempt::Refused(refusal) => refusal,
                Attempt::Lost(reason) => {
                    let text = format!("the agent was lost: {reason}");
                    refusal::Refusal::may_have_run(code::Code::OutcomeUnknown, text)
                }
            };
            self.log_failure(&agent, &refusal);
            // What ran at one agent did run, whatever the next one says.
            ran |= !refusal.not_run;
            refusal.not_run = !ran;
            // What went out of a plain service's answer cannot be continued by another replica.
            if self.outlet.is_committed() && !self.job.model {
                return Some(self.final_failure(refusal));
            }
            match self.verdict(refusal.clone(), tried.len()) {
                retry::Verdict::Retry { after } => tokio::time::sleep(after).await,
                retry::Verdict::GiveUp { refusal } => return Some(self.final_failure(refusal)),
            }
            self.outlet.restart();
            last = Some(refusal);
        }
    }

    fn verdict(&self, refusal: refusal::Refusal, count: usize) -> retry::Verdict {
        let attempt = retry::Attempt::new(self.job.deadline, refusal)
            .count(u32::try_from(count).unwrap_or(u32::MAX))
            .idempotent(self.job.route.idempotent);
        self.shared.router.decide(&self.job.team, attempt)
    }

    fn final_failure(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        if refusal.not_run || self.job.route.idempotent {
            return refusal;
        }
        refusal::Refusal { code: code::Code::OutcomeUnknown, retry_after: None, ..refusal }
    }

    /// Sends the job to `agent` and follows its answer, over new connections if need be.
    async fn attempt(&mut self, agent: &directory::Agent) -> Attempt {
        let mut sight = sight::Sight::new(self.shared.router.clone(), agent.clone());
        let attempt = self.follow(agent, &mut sight).await;
        match &attempt {
            Attempt::Done | Attempt::CallerGone => sight.done(),
            Attempt::Refused(refusal) => sight.refused(refusal),
            Attempt::Lost(_) => sight.lost(),
        }
        attempt
    }

    async fn follow(&mut self, agent: &directory::Agent, sight: &mut sight::Sight) -> Attempt {
        let silence = self.shared.silence;
        let request = self.request(agent);
        let mut link = self.clients.run(&agent.runs, &request, silence).await;
        let mut failures = 0;
        loop {
            let reason = match link {
                Ok(mut open) => match self.read(&mut open, agent, sight, &mut failures).await {
                    Ok(attempt) => return attempt,
                    Err(error) => error.to_string(),
                },
                Err(link::LinkError::Connect(reason)) if failures == 0 => {
                    let code = code::Code::PeerUnavailable;
                    return Attempt::Refused(refusal::Refusal::not_run(code, reason));
                }
                Err(error) => error.to_string(),
            };
            failures += 1;
            if failures > RESUMES {
                return Attempt::Lost(reason);
            }
            if failures > 1 {
                tokio::time::sleep(RESUME_PAUSE).await;
            }
            self.shared.metrics.count("resumes", &self.job.class.name, 0);
            tracing::info!(
                request = self.id_text(),
                decision = "resume",
                agent = agent.node,
                offset = self.outlet.offset(),
                why = reason,
                "routing decision"
            );
            let resume = run::ResumeRequest {
                protocol: azuregap_wire::PROTOCOL,
                id: self.job.id,
                incarnation: agent.incarnation,
                offset: self.outlet.offset(),
                recent: true,
            };
            link = self.clients.resume(&agent.runs, &resume, silence).await;
        }
    }

    /// Passes frames on until the answer ends or the connection fails.
    async fn read(
        &mut self,
        link: &mut link::Link,
        agent: &directory::Agent,
        sight: &mut sight::Sight,
        failures: &mut u32,
    ) -> Result<Attempt, link::LinkError> {
        loop {
            let frame = link.next_frame().await?;
            let (before, alive) =
                (self.outlet.offset(), matches!(frame, frame::Frame::Heartbeat { .. }));
            if self.key_withdrawn() {
                self.cancel(agent).await;
                let code = code::Code::KeyWithdrawnRunning;
                let refusal = refusal::Refusal::may_have_run(code, "the key was withdrawn");
                return Ok(Attempt::Refused(refusal));
            }
            if let Some(end) = self.take(frame, agent, sight).await? {
                return Ok(end);
            }
            if alive || self.outlet.offset() > before {
                *failures = 0;
            }
        }
    }

    async fn take(
        &mut self,
        frame: frame::Frame,
        agent: &directory::Agent,
        sight: &mut sight::Sight,
    ) -> Result<Option<Attempt>, link::LinkError> {
        let cut = |reason: &str| Err(link::LinkError::Cut(reason.to_owned()));
        match frame {
            frame::Frame::Accepted { id, incarnation, load, version } => {
                if id != self.job.id || incarnation != agent.incarnation {
                    return cut("an answer to another request");
                }
                self.shared.router.report(agent, load);
                self.shared.mailbox.note(&agent.node, Some(&agent.control), version);
                sight.accepted();
            }
            frame::Frame::Heartbeat { load } => {
                self.shared.router.report(agent, load);
                sight.waited();
                return Ok(self.outlet.is_unwanted().then_some(Attempt::CallerGone));
            }
            frame::Frame::Head { status, headers } => {
                let there = self.outlet.head(status, headers).await;
                return Ok((!there).then_some(Attempt::CallerGone));
            }
            frame::Frame::Data { offset, bytes } => {
                if offset != self.outlet.offset() {
                    return cut("a piece of the answer is missing");
                }
                if self.outlet.offset() == 0 {
                    self.shared.metrics.time("first_byte", &self.job.class.name, sight.age());
                }
                sight.data(&bytes);
                let there = self.outlet.data(bytes).await;
                return Ok((!there).then_some(Attempt::CallerGone));
            }
            frame::Frame::End { length, usage, load } => {
                self.shared.router.report(agent, load);
                if length != self.outlet.offset() {
                    return cut("the answer is shorter than announced");
                }
                self.keep_record(agent, usage);
                self.shared.router.learn(&self.job, usage);
                self.outlet.end().await;
                return Ok(Some(Attempt::Done));
            }
            frame::Frame::Refused { refusal, load } => {
                self.shared.router.report(agent, load);
                return Ok(Some(Attempt::Refused(refusal)));
            }
        }
        Ok(None)
    }

    /// A withdrawn key ends what may be run again; a call that may not is let end.
    fn key_withdrawn(&self) -> bool {
        let Some(key) = &self.job.key else { return false };
        let configuration = self.shared.configuration.load();
        let valid = configuration.keys.get(key).is_some_and(|grant| !grant.withdrawn);
        !valid && self.job.route.idempotent
    }

    /// Keeps a copy of what the agent bills, until it is durable.
    fn keep_record(&self, agent: &directory::Agent, usage: frame::Usage) {
        if self.job.team.is_empty() {
            return;
        }
        self.shared.copies.keep(control::UsageRecord {
            id: self.job.id,
            agent: agent.node.clone(),
            incarnation: agent.incarnation,
            window: self.shared.windows.now(),
            team: self.job.team.clone(),
            route: self.job.route.name.clone(),
            usage,
        });
    }

    async fn cancel(&self, agent: &directory::Agent) {
        let request = run::CancelRequest { protocol: azuregap_wire::PROTOCOL, id: self.job.id };
        self.clients.cancel(&agent.runs, &request).await;
    }

    fn request(&self, agent: &directory::Agent) -> run::RunRequest {
        let job = &self.job;
        run::RunRequest {
            protocol: azuregap_wire::PROTOCOL,
            id: job.id,
            incarnation: agent.incarnation,
            entry: self.shared.node.clone(),
            version: self.shared.configuration.load().version,
            team: job.team.clone(),
            class: job.class.name.clone(),
            tier: job.class.tier,
            route: job.route.name.clone(),
            idempotent: job.route.idempotent,
            cost: job.cost,
            deadline: job.deadline.saturating_duration_since(tokio::time::Instant::now()),
            offset: self.outlet.offset(),
            method: job.method.clone(),
            path: job.path.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
        }
    }

    fn log_failure(&self, agent: &directory::Agent, refusal: &refusal::Refusal) {
        self.shared.metrics.count("failed_tries", &self.job.class.name, refusal.code.number());
        tracing::info!(
            request = self.id_text(),
            team = self.job.team,
            class = self.job.class.name,
            route = self.job.route.name,
            decision = "failed",
            agent = agent.node,
            code = refusal.code.number(),
            not_run = refusal.not_run,
            why = refusal.message,
            "routing decision"
        );
    }
}

/// The key of the claim, for a job that must run at most once and carries one.
fn claim_key(job: &job::Job) -> Option<String> {
    if job.route.idempotent { None } else { job.claim.clone() }
}
