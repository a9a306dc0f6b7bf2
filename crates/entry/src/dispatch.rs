//! Sees one job through: attempts, lost connections, resumes and retries.

mod attempt;
mod event;
mod outlet;
mod shared;

use azuregap_control::directory;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use azuregap_policy::balancer;
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
            fill = choice.load_factor,
            other = choice.alternative,
            eligible = choice.eligible,
            left_out = choice.ejected,
            "routing decision"
        );
        Ok(agent)
    }

    /// Takes back a choice that came to nothing.
    pub fn withdraw(&self, agent: &directory::Agent) {
        self.shared.router.observe(agent, balancer::Observation::Cancelled);
    }

    /// Another agent for a claimed job that was refused, if the retry policy allows one.
    pub async fn next_agent(
        &self,
        refusal: &refusal::Refusal,
        tried: &[ids::NodeId],
    ) -> Option<directory::Agent> {
        match self.verdict(refusal.clone(), tried.len()) {
            retry::Decision::Retry { after } => {
                tokio::time::sleep(after).await;
                self.choose(tried).ok()
            }
            retry::Decision::GiveUp { .. } => None,
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
            Ok(attempt::Attempt::Done) => self.outlet.take_whole().map_or(Once::Lost, Once::Whole),
            Ok(attempt::Attempt::Refused(refusal)) if refusal.not_run => {
                self.log_failure(agent, &refusal);
                Once::NotRun(refusal)
            }
            Ok(
                attempt::Attempt::Refused(_)
                | attempt::Attempt::Lost(_)
                | attempt::Attempt::CallerGone,
            )
            | Err(_) => Once::Lost,
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
                attempt::Attempt::Done => return None,
                attempt::Attempt::CallerGone => {
                    self.cancel(&agent).await;
                    return None;
                }
                attempt::Attempt::Refused(refusal) => refusal,
                attempt::Attempt::Lost(reason) => {
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
                retry::Decision::Retry { after } => tokio::time::sleep(after).await,
                retry::Decision::GiveUp { refusal } => return Some(self.final_failure(refusal)),
            }
            self.outlet.restart();
            last = Some(refusal);
        }
    }

    fn verdict(&self, refusal: refusal::Refusal, count: usize) -> retry::Decision {
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
