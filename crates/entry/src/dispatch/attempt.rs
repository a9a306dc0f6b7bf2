//! One attempt at one agent, over as many connections as it takes.

use std::time;

use azuregap_control::directory;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_wire::frame;
use azuregap_wire::run;

use super::Dispatch;
use crate::link;
use crate::sight;

/// Attempts to reach an agent again that holds an answer.
const RESUMES: u32 = 3;

/// Time between two attempts to reach an agent again.
const RESUME_PAUSE: time::Duration = time::Duration::from_millis(300);

/// How one attempt ended.
#[derive(Debug)]
pub(super) enum Attempt {
    /// The answer is whole and was passed on.
    Done,
    /// Refused or failed; the refusal tells whether anything ran.
    Refused(refusal::Refusal),
    /// Whether anything ran, or how it ended, is not known.
    Lost(String),
    /// The caller went away.
    CallerGone,
}

impl Dispatch {
    /// Sends the job to `agent` and follows its answer, over new connections if need be.
    pub(super) async fn attempt(&mut self, agent: &directory::Agent) -> Attempt {
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
                self.shared.mailbox.observe_version(&agent.node, Some(&agent.control), version);
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
}
