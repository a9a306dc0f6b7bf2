//! Sees one job through: attempts, lost connections, resumes and retries.

mod attempt;
mod context;
mod response;
mod response_sink;

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

pub use context::EntryContext;
pub use response::FullResponse;
pub use response::ResponseEvent;
pub use response_sink::MAX_BUFFERED_BYTES;

use crate::agent_client;
use crate::claims;
use crate::job;

/// How the single attempt of a claimed job ended.
#[derive(Debug)]
pub enum ClaimedOutcome {
    /// The request ran and the caller was sent this complete response.
    Complete(FullResponse),
    /// The request certainly did not run.
    NotRun(refusal::Refusal),
    /// Whether the request ran, or how it ended, is not known.
    Unknown,
}

/// A job under way.
#[derive(Debug)]
pub struct JobRunner {
    context: EntryContext,
    client: agent_client::AgentClient,
    job: job::Job,
    sink: response_sink::ResponseSink,
}

impl JobRunner {
    /// A job that tells its events to `out`.
    #[must_use]
    pub fn new(
        context: EntryContext,
        client: agent_client::AgentClient,
        job: job::Job,
        out: mpsc::Sender<ResponseEvent>,
    ) -> Self {
        let sink = response_sink::ResponseSink::new(out, claim_key(&job).is_some());
        Self { context, client, job, sink }
    }

    /// Runs the job to its end.
    pub async fn run(mut self, stores: claims::Stores) {
        if let Err(refusal) = self.context.router.admit(&self.job.team) {
            self.context.metrics.count("requests", &self.job.class.name, refusal.code.number());
            self.sink.fail(refusal).await;
            return;
        }
        let failure = match claim_key(&self.job) {
            Some(key) => claims::run(&mut self, &stores, &key).await,
            None => {
                let deadline = self.job.deadline;
                let end = tokio::time::timeout_at(deadline, self.run_attempts()).await;
                end.unwrap_or_else(|_| Some(self.deadline_refusal()))
            }
        };
        self.context.router.release(&self.job.team);
        let code = failure.as_ref().map_or(0, |refusal| refusal.code.number());
        self.context.metrics.count("requests", &self.job.class.name, code);
        if let Some(refusal) = failure {
            self.sink.fail(refusal).await;
        }
    }

    /// The job.
    #[must_use]
    pub const fn job(&self) -> &job::Job {
        &self.job
    }

    /// HTTP client towards agents.
    #[must_use]
    pub const fn client(&self) -> &agent_client::AgentClient {
        &self.client
    }

    /// Request id as callers and logs see it.
    #[must_use]
    pub fn id_hex(&self) -> String {
        format!("{:032x}", self.job.id)
    }

    /// The agent called `node`, if it is known.
    #[must_use]
    pub fn agent(&self, node: &str) -> Option<directory::Agent> {
        self.context.router.agent(node)
    }

    /// Chooses an agent, leaving out those in `tried`.
    ///
    /// # Errors
    ///
    /// A refusal, nothing run, when no agent can take the job.
    pub fn select_agent(
        &self,
        tried: &[ids::NodeId],
    ) -> Result<directory::Agent, refusal::Refusal> {
        self.context.refresh_router();
        let (agent, choice) = self.context.router.select(&self.job, tried)?;
        tracing::info!(
            request = self.id_hex(),
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
    pub fn cancel_selection(&self, agent: &directory::Agent) {
        self.context.router.observe(agent, balancer::Observation::Cancelled);
    }

    /// Another agent for a claimed job that was refused, if the retry policy allows one.
    pub async fn select_retry_agent(
        &self,
        refusal: &refusal::Refusal,
        tried: &[ids::NodeId],
    ) -> Option<directory::Agent> {
        match self.retry_decision(refusal.clone(), tried.len()) {
            retry::Decision::Retry { after } => {
                tokio::time::sleep(after).await;
                self.select_agent(tried).ok()
            }
            retry::Decision::GiveUp { .. } => None,
        }
    }

    /// Makes the single attempt of a claimed job.
    pub async fn attempt_claimed(&mut self, agent: &directory::Agent) -> ClaimedOutcome {
        self.sink.reset();
        let deadline = self.job.deadline;
        if tokio::time::Instant::now() >= deadline {
            let text = "the deadline passed before the request was sent";
            return ClaimedOutcome::NotRun(refusal::Refusal::not_run(
                code::Code::DeadlinePassed,
                text,
            ));
        }
        let attempt = tokio::time::timeout_at(deadline, self.attempt(agent)).await;
        match attempt {
            Ok(attempt::AttemptOutcome::Complete) => {
                self.sink.take_full().map_or(ClaimedOutcome::Unknown, ClaimedOutcome::Complete)
            }
            Ok(attempt::AttemptOutcome::Refused(refusal)) if refusal.not_run => {
                self.log_failure(agent, &refusal);
                ClaimedOutcome::NotRun(refusal)
            }
            Ok(
                attempt::AttemptOutcome::Refused(_)
                | attempt::AttemptOutcome::ConnectionLost(_)
                | attempt::AttemptOutcome::CallerDisconnected,
            )
            | Err(_) => ClaimedOutcome::Unknown,
        }
    }

    /// Gives the caller the answer of an earlier request.
    pub async fn replay(&self, whole: FullResponse) {
        tracing::info!(request = self.id_hex(), decision = "repeated", "routing decision");
        self.sink.replay(whole).await;
    }

    fn deadline_refusal(&self) -> refusal::Refusal {
        let code = if self.job.route.idempotent {
            code::Code::DeadlinePassed
        } else {
            code::Code::OutcomeUnknown
        };
        refusal::Refusal::may_have_run(code, "the deadline passed")
    }

    /// Tries agents until one gave the answer; gives the refusal if none did.
    async fn run_attempts(&mut self) -> Option<refusal::Refusal> {
        let mut tried = Vec::new();
        let mut last = None;
        let mut ran = false;
        loop {
            let agent = match self.select_agent(&tried) {
                Ok(agent) => agent,
                Err(refusal) => return Some(last.unwrap_or(refusal)),
            };
            tried.push(agent.node.clone());
            let mut refusal = match self.attempt(&agent).await {
                attempt::AttemptOutcome::Complete => return None,
                attempt::AttemptOutcome::CallerDisconnected => {
                    self.cancel(&agent).await;
                    return None;
                }
                attempt::AttemptOutcome::Refused(refusal) => refusal,
                attempt::AttemptOutcome::ConnectionLost(reason) => {
                    let text = format!("the agent was lost: {reason}");
                    refusal::Refusal::may_have_run(code::Code::OutcomeUnknown, text)
                }
            };
            self.log_failure(&agent, &refusal);
            // What ran at one agent did run, whatever the next one says.
            ran |= !refusal.not_run;
            refusal.not_run = !ran;
            // What went out of a plain service's answer cannot be continued by another replica.
            if self.sink.is_committed() && !self.job.model_pool {
                return Some(self.final_refusal(refusal));
            }
            match self.retry_decision(refusal.clone(), tried.len()) {
                retry::Decision::Retry { after } => tokio::time::sleep(after).await,
                retry::Decision::GiveUp { refusal } => return Some(self.final_refusal(refusal)),
            }
            self.sink.reset();
            last = Some(refusal);
        }
    }

    fn retry_decision(&self, refusal: refusal::Refusal, count: usize) -> retry::Decision {
        let attempt = retry::Attempt::new(self.job.deadline, refusal)
            .count(u32::try_from(count).unwrap_or(u32::MAX))
            .idempotent(self.job.route.idempotent);
        self.context.router.decide_retry(&self.job.team, attempt)
    }

    fn final_refusal(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        if refusal.not_run || self.job.route.idempotent {
            return refusal;
        }
        refusal::Refusal { code: code::Code::OutcomeUnknown, retry_after: None, ..refusal }
    }

    /// A withdrawn key ends what may be run again; a call that may not is let end.
    fn withdrawn_key_cancels(&self) -> bool {
        let Some(key) = &self.job.key_digest else { return false };
        let configuration = self.context.configuration.load();
        let valid = configuration.keys.get(key).is_some_and(|grant| !grant.withdrawn);
        !valid && self.job.route.idempotent
    }

    /// Keeps a copy of what the agent bills, until it is durable.
    fn keep_usage_copy(&self, agent: &directory::Agent, usage: frame::Usage) {
        if self.job.team.is_empty() {
            return;
        }
        self.context.usage_copies.keep(control::UsageRecord {
            id: self.job.id,
            agent: agent.node.clone(),
            incarnation: agent.incarnation,
            window: self.context.usage_windows.now(),
            team: self.job.team.clone(),
            route: self.job.route.name.clone(),
            usage,
        });
    }

    async fn cancel(&self, agent: &directory::Agent) {
        let request = run::CancelRequest { protocol: azuregap_wire::PROTOCOL, id: self.job.id };
        self.client.cancel(&agent.runs, &request).await;
    }

    fn run_request(&self, agent: &directory::Agent) -> run::RunRequest {
        let job = &self.job;
        run::RunRequest {
            protocol: azuregap_wire::PROTOCOL,
            id: job.id,
            incarnation: agent.incarnation,
            entry: self.context.node.clone(),
            version: self.context.configuration.load().version,
            team: job.team.clone(),
            class: job.class.name.clone(),
            tier: job.class.tier,
            route: job.route.name.clone(),
            idempotent: job.route.idempotent,
            cost: job.cost,
            deadline: job.deadline.saturating_duration_since(tokio::time::Instant::now()),
            offset: self.sink.offset(),
            method: job.method.clone(),
            path: job.target.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
        }
    }

    fn log_failure(&self, agent: &directory::Agent, refusal: &refusal::Refusal) {
        self.context.metrics.count("failed_tries", &self.job.class.name, refusal.code.number());
        tracing::info!(
            request = self.id_hex(),
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
    if job.route.idempotent { None } else { job.idempotency_key.clone() }
}
