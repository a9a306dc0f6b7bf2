//! Sees one job through: attempts, lost connections, resumes and retries.

use std::time;

use azuregap_control::directory;
use azuregap_control::snapshot;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use azuregap_wire::frame;
use azuregap_wire::run;
use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::mpsc;

use crate::balance;
use crate::job;
use crate::link;

/// Largest answer that is held back until it is whole, in bytes.
pub const MAX_HELD: usize = 1024 * 1024;

/// Attempts to reach an agent again that holds an answer.
const RESUMES: u32 = 3;

/// Time between two attempts to reach an agent again.
const RESUME_PAUSE: time::Duration = time::Duration::from_millis(300);

/// Agents tried for one job.
const MAX_TRIED: usize = 4;

/// When a caller may come back if no replica was found.
const COME_BACK: time::Duration = time::Duration::from_secs(1);

/// What a job shares with the others of its entry.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Name of this entry.
    pub node: ids::NodeId,
    /// The configuration in force.
    pub configuration: snapshot::Handle,
    /// The agents known.
    pub directory: directory::Directory,
    /// Chooses among them.
    pub balance: balance::Balance,
    /// How long an answer may be silent before the entry asks again.
    pub silence: time::Duration,
}

/// What the caller's connection gets, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The answer as a whole.
    Whole {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<run::Header>,
        /// Body.
        body: Bytes,
    },
    /// The start of an answer that comes piece by piece.
    Head {
        /// HTTP status.
        status: u16,
        /// Headers.
        headers: Vec<run::Header>,
    },
    /// The next piece.
    Data(Bytes),
    /// The answer is whole.
    End,
    /// The job failed or was refused.
    Failed(refusal::Refusal),
}

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

/// A job under way.
#[derive(Debug)]
pub struct Dispatch {
    shared: Shared,
    clients: link::Clients,
    job: job::Job,
    out: mpsc::Sender<Event>,
    /// Head of the answer, while it is held back.
    held: Option<(u16, Vec<run::Header>)>,
    /// Bytes held back.
    kept: BytesMut,
    /// Whether the head went out to the caller.
    committed: bool,
    /// Bytes of the answer received so far.
    offset: u64,
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
        let (held, kept) = (None, BytesMut::new());
        Self { shared, clients, job, out, held, kept, committed: false, offset: 0 }
    }

    /// Runs the job to its end.
    pub async fn run(mut self) {
        let deadline = self.job.deadline;
        let end = tokio::time::timeout_at(deadline, self.attempts()).await;
        let failure = match end {
            Ok(failure) => failure,
            Err(_) => Some(self.late()),
        };
        if let Some(refusal) = failure {
            let _ = self.out.send(Event::Failed(refusal)).await;
        }
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
        while tried.len() < MAX_TRIED {
            let agents = self.shared.directory.load();
            let Some(agent) = self.shared.balance.choose(&self.job, &agents, &tried) else { break };
            tried.push(agent.node.clone());
            self.log("chosen", &agent, None);
            self.shared.balance.begin(&agent.node);
            let attempt = self.attempt(&agent).await;
            self.shared.balance.end(&agent.node);
            let refusal = match attempt {
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
            self.log("failed", &agent, Some(&refusal));
            if !self.may_retry(&refusal) {
                return Some(self.final_failure(refusal));
            }
            self.restart();
            last = Some(refusal);
        }
        Some(last.unwrap_or_else(|| {
            let text = format!("no backend server of pool '{}' takes work", self.job.route.pool);
            refusal::Refusal::not_run(code::Code::NoReplica, text).retry_after(COME_BACK)
        }))
    }

    /// Only what did not run or may run twice goes to another agent.
    fn may_retry(&self, refusal: &refusal::Refusal) -> bool {
        if refusal.code == code::Code::KeyWithdrawnRunning {
            return false;
        }
        let resumable = !self.committed || self.job.model;
        refusal.not_run || (self.job.route.idempotent && resumable)
    }

    fn final_failure(&self, refusal: refusal::Refusal) -> refusal::Refusal {
        if refusal.not_run || self.job.route.idempotent {
            return refusal;
        }
        refusal::Refusal { code: code::Code::OutcomeUnknown, ..refusal }
    }

    /// Forgets what was held back of a failed attempt.
    fn restart(&mut self) {
        if !self.committed {
            self.held = None;
            self.kept.clear();
            self.offset = 0;
        }
    }

    async fn attempt(&mut self, agent: &directory::Agent) -> Attempt {
        let request = self.request(agent);
        let silence = self.shared.silence;
        let mut link = self.clients.run(&agent.runs, &request, silence).await;
        let mut failures = 0;
        loop {
            let reason = match link {
                Ok(mut open) => match self.follow(&mut open, agent, &mut failures).await {
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
            tracing::info!(
                request = format!("{:032x}", self.job.id),
                decision = "resume",
                agent = agent.node,
                offset = self.offset,
                why = reason,
                "routing decision"
            );
            let resume = run::ResumeRequest {
                protocol: azuregap_wire::PROTOCOL,
                id: self.job.id,
                incarnation: agent.incarnation,
                offset: self.offset,
            };
            link = self.clients.resume(&agent.runs, &resume, silence).await;
        }
    }

    /// Passes frames on until the answer ends or the connection fails.
    async fn follow(
        &mut self,
        link: &mut link::Link,
        agent: &directory::Agent,
        failures: &mut u32,
    ) -> Result<Attempt, link::LinkError> {
        loop {
            let frame = link.next_frame().await?;
            *failures = 0;
            if self.key_withdrawn() {
                self.cancel(agent).await;
                let code = code::Code::KeyWithdrawnRunning;
                let refusal = refusal::Refusal::may_have_run(code, "the key was withdrawn");
                return Ok(Attempt::Refused(refusal));
            }
            if let Some(end) = self.take(frame, agent).await? {
                return Ok(end);
            }
        }
    }

    async fn take(
        &mut self,
        frame: frame::Frame,
        agent: &directory::Agent,
    ) -> Result<Option<Attempt>, link::LinkError> {
        let cut = |reason: &str| Err(link::LinkError::Cut(reason.to_owned()));
        match frame {
            frame::Frame::Accepted { id, incarnation, load, .. } => {
                self.shared.balance.told(&agent.node, load);
                if id != self.job.id || incarnation != agent.incarnation {
                    return cut("an answer to another request");
                }
            }
            frame::Frame::Heartbeat { load } => {
                self.shared.balance.told(&agent.node, load);
                if self.out.is_closed() {
                    return Ok(Some(Attempt::CallerGone));
                }
            }
            frame::Frame::Head { status, headers } => {
                if !self.committed && self.held.is_none() {
                    return Ok(self.take_head(status, headers).await);
                }
            }
            frame::Frame::Data { offset, bytes } => {
                if offset != self.offset {
                    return cut("a piece of the answer is missing");
                }
                self.offset += bytes.len() as u64;
                return Ok(self.take_data(bytes).await);
            }
            frame::Frame::End { length, load, .. } => {
                self.shared.balance.told(&agent.node, load);
                if length != self.offset {
                    return cut("the answer is shorter than announced");
                }
                return Ok(Some(self.take_end().await));
            }
            frame::Frame::Refused { refusal, load } => {
                self.shared.balance.told(&agent.node, load);
                return Ok(Some(Attempt::Refused(refusal)));
            }
        }
        Ok(None)
    }

    /// Streams of events go out at once, anything else is held back until it is whole.
    async fn take_head(&mut self, status: u16, headers: Vec<run::Header>) -> Option<Attempt> {
        let stream = headers.iter().any(|header| {
            header.name == "content-type" && header.value.starts_with("text/event-stream")
        });
        if stream {
            self.committed = true;
            return self.tell(Event::Head { status, headers }).await;
        }
        self.held = Some((status, headers));
        None
    }

    async fn take_data(&mut self, bytes: Bytes) -> Option<Attempt> {
        if self.held.is_none() {
            return self.tell(Event::Data(bytes)).await;
        }
        self.kept.extend_from_slice(&bytes);
        if self.kept.len() <= MAX_HELD {
            return None;
        }
        let (status, headers) = self.held.take()?;
        self.committed = true;
        let gone = self.tell(Event::Head { status, headers }).await;
        let kept = self.kept.split().freeze();
        if gone.is_some() { gone } else { self.tell(Event::Data(kept)).await }
    }

    async fn take_end(&mut self) -> Attempt {
        let event = match self.held.take() {
            Some((status, headers)) => {
                Event::Whole { status, headers, body: self.kept.split().freeze() }
            }
            None => Event::End,
        };
        let _ = self.out.send(event).await;
        Attempt::Done
    }

    async fn tell(&self, event: Event) -> Option<Attempt> {
        self.out.send(event).await.is_err().then_some(Attempt::CallerGone)
    }

    /// A withdrawn key ends what may be run again; a call that may not is let end.
    fn key_withdrawn(&self) -> bool {
        let Some(key) = &self.job.key else { return false };
        let configuration = self.shared.configuration.load();
        let valid = configuration.keys.get(key).is_some_and(|grant| !grant.withdrawn);
        !valid && self.job.route.idempotent
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
            offset: self.offset,
            method: job.method.clone(),
            path: job.path.clone(),
            headers: job.headers.clone(),
            body: job.body.clone(),
        }
    }

    fn log(&self, decision: &str, agent: &directory::Agent, refusal: Option<&refusal::Refusal>) {
        tracing::info!(
            request = format!("{:032x}", self.job.id),
            team = self.job.team,
            class = self.job.class.name,
            route = self.job.route.name,
            decision,
            agent = agent.node,
            zone = agent.zone,
            code = refusal.map(|refusal| refusal.code.number()),
            not_run = refusal.map(|refusal| refusal.not_run),
            why = refusal.map(|refusal| refusal.message.as_str()),
            "routing decision"
        );
    }
}
