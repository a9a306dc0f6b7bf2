//! Runs one request to its end: attempts, resumes after lost connections, and retries.

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

/// Result of one attempt at a request with an idempotency claim.
#[derive(Debug)]
pub enum ClaimedOutcome {
    /// The request ran and the caller was sent this complete response.
    Complete(FullResponse),
    /// The request certainly did not run.
    NotRun(refusal::Refusal),
    /// Whether the request ran, or how it ended, is not known.
    Unknown,
}

/// Runs one request and sends its response to the caller's connection.
#[derive(Debug)]
pub struct JobRunner {
    context: EntryContext,
    client: agent_client::AgentClient,
    job: job::Job,
    sink: response_sink::ResponseSink,
}

impl JobRunner {
    /// Creates a runner that sends the response of `job` to `events`.
    #[must_use]
    pub fn new(
        context: EntryContext,
        client: agent_client::AgentClient,
        job: job::Job,
        events: mpsc::Sender<ResponseEvent>,
    ) -> Self {
        let sink = response_sink::ResponseSink::new(events, claim_key(&job).is_some());
        Self { context, client, job, sink }
    }

    /// Runs the request until the caller has a response or a refusal.
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

    /// The request that is run.
    #[must_use]
    pub const fn job(&self) -> &job::Job {
        &self.job
    }

    /// HTTP client for agents.
    #[must_use]
    pub const fn client(&self) -> &agent_client::AgentClient {
        &self.client
    }

    /// Request id in hexadecimal, as in responses and logs.
    #[must_use]
    pub fn id_hex(&self) -> String {
        format!("{:032x}", self.job.id)
    }

    /// The agent with node name `node`, if it is known.
    #[must_use]
    pub fn agent(&self, node: &str) -> Option<directory::Agent> {
        self.context.router.agent(node)
    }

    /// Selects an agent that is not in `tried`.
    ///
    /// # Errors
    ///
    /// A not-run refusal when no agent can accept the request.
    pub fn select_agent(
        &self,
        tried: &[ids::NodeId],
    ) -> Result<directory::Agent, refusal::Refusal> {
        self.context.refresh_router();
        let (agent, selection) = self.context.router.select(&self.job, tried)?;
        tracing::info!(
            request = self.id_hex(),
            team = self.job.team,
            class = self.job.class.name,
            route = self.job.route.name,
            decision = "chosen",
            agent = agent.node,
            zone = agent.zone,
            why = ?selection.reason,
            fill = selection.load_factor,
            other = selection.alternative,
            eligible = selection.eligible,
            left_out = selection.ejected,
            "routing decision"
        );
        Ok(agent)
    }

    /// Releases the load of a selected agent that the request was not sent to.
    pub fn cancel_selection(&self, agent: &directory::Agent) {
        self.context.router.observe(agent, balancer::Observation::Cancelled);
    }

    /// Selects another agent for a claimed request that was refused, if the retry policy allows it.
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

    /// Makes one attempt at a claimed request and buffers its complete response.
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
        let outcome = tokio::time::timeout_at(deadline, self.attempt(agent)).await;
        match outcome {
            Ok(attempt::AttemptOutcome::Complete) => {
                self.sink.take_complete().map_or(ClaimedOutcome::Unknown, ClaimedOutcome::Complete)
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

    /// Sends the caller the stored response of an earlier request.
    pub async fn replay(&self, response: FullResponse) {
        tracing::info!(request = self.id_hex(), decision = "repeated", "routing decision");
        self.sink.replay(response).await;
    }

    fn deadline_refusal(&self) -> refusal::Refusal {
        let code = if self.job.route.idempotent {
            code::Code::DeadlinePassed
        } else {
            code::Code::OutcomeUnknown
        };
        refusal::Refusal::may_have_run(code, "the deadline passed")
    }

    /// Tries agents until one completes the response; returns the last refusal if none does.
    async fn run_attempts(&mut self) -> Option<refusal::Refusal> {
        let mut tried = Vec::new();
        let mut last_refusal = None;
        let mut may_have_run = false;
        loop {
            let agent = match self.select_agent(&tried) {
                Ok(agent) => agent,
                Err(refusal) => return Some(last_refusal.unwrap_or(refusal)),
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
            // Once an attempt may have run, a later not-run refusal doesn't change that.
            may_have_run |= !refusal.not_run;
            refusal.not_run = !may_have_run;
            // Another replica cannot continue a plain service's response that was partly sent.
            if self.sink.is_committed() && !self.job.model_pool {
                return Some(self.final_refusal(refusal));
            }
            match self.retry_decision(refusal.clone(), tried.len()) {
                retry::Decision::Retry { after } => tokio::time::sleep(after).await,
                retry::Decision::GiveUp { refusal } => return Some(self.final_refusal(refusal)),
            }
            self.sink.reset();
            last_refusal = Some(refusal);
        }
    }

    fn retry_decision(&self, refusal: refusal::Refusal, attempts: usize) -> retry::Decision {
        let attempt = retry::Attempt::new(self.job.deadline, refusal)
            .count(u32::try_from(attempts).unwrap_or(u32::MAX))
            .idempotent(self.job.route.idempotent);
        self.context.router.decide_retry(&self.job.team, attempt)
    }

    fn final_refusal(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        if refusal.not_run || self.job.route.idempotent {
            return refusal;
        }
        refusal::Refusal { code: code::Code::OutcomeUnknown, retry_after: None, ..refusal }
    }

    /// Whether a withdrawn key cancels the request. Only idempotent requests are cancelled; others
    /// run to their end.
    fn withdrawn_key_cancels(&self) -> bool {
        let Some(key) = &self.job.key_digest else { return false };
        let configuration = self.context.configuration.load();
        let valid = configuration.keys.get(key).is_some_and(|grant| !grant.withdrawn);
        !valid && self.job.route.idempotent
    }

    /// Keeps a copy of the agent's usage record until the agent has stored it durably.
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

/// The `Idempotency-Key` of a request that must run at most once, if it has one.
fn claim_key(job: &job::Job) -> Option<String> {
    if job.route.idempotent { None } else { job.idempotency_key.clone() }
}
