//! One attempt at one agent, which may take several connections.

use std::time;

use azuregap_control::directory;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_wire::frame;
use azuregap_wire::run;

use super::JobRunner;
use crate::agent_client;
use crate::attempt_observer;

/// Resumes of a response, without progress in between, after which the attempt fails.
const MAX_RESUMES: u32 = 3;

/// Delay between consecutive resumes without progress.
const RESUME_DELAY: time::Duration = time::Duration::from_millis(300);

/// Result of one attempt.
#[derive(Debug)]
pub(super) enum AttemptOutcome {
    /// The response is complete and was sent to the caller's connection.
    Complete,
    /// The agent refused or failed the request; the refusal says whether it may have run.
    Refused(refusal::Refusal),
    /// The connection was lost; whether the request ran, or how it ended, is not known.
    ConnectionLost(String),
    /// The caller closed its connection.
    CallerDisconnected,
}

impl JobRunner {
    /// Sends the request to `agent` and receives its response, resuming over new connections if
    /// needed.
    pub(super) async fn attempt(&mut self, agent: &directory::Agent) -> AttemptOutcome {
        let mut observer =
            attempt_observer::AttemptObserver::new(self.context.router.clone(), agent.clone());
        let outcome = self.receive_response(agent, &mut observer).await;
        match &outcome {
            AttemptOutcome::Complete | AttemptOutcome::CallerDisconnected => observer.completed(),
            AttemptOutcome::Refused(refusal) => observer.refused(refusal),
            AttemptOutcome::ConnectionLost(_) => observer.connection_lost(),
        }
        outcome
    }

    async fn receive_response(
        &mut self,
        agent: &directory::Agent,
        observer: &mut attempt_observer::AttemptObserver,
    ) -> AttemptOutcome {
        let idle_timeout = self.context.idle_timeout;
        let request = self.run_request(agent);
        let mut stream = self.client.run(&agent.runs, &request, idle_timeout).await;
        let mut failures = 0;
        loop {
            let reason = match stream {
                Ok(mut frames) => {
                    match self.read_frames(&mut frames, agent, observer, &mut failures).await {
                        Ok(outcome) => return outcome,
                        Err(error) => error.to_string(),
                    }
                }
                Err(agent_client::StreamError::Connect(reason)) if failures == 0 => {
                    let code = code::Code::PeerUnavailable;
                    return AttemptOutcome::Refused(refusal::Refusal::not_run(code, reason));
                }
                Err(error) => error.to_string(),
            };
            failures += 1;
            if failures > MAX_RESUMES {
                return AttemptOutcome::ConnectionLost(reason);
            }
            if failures > 1 {
                tokio::time::sleep(RESUME_DELAY).await;
            }
            self.context.metrics.count("resumes", &self.job.class.name, 0);
            tracing::info!(
                request = self.id_hex(),
                decision = "resume",
                agent = agent.node,
                offset = self.sink.offset(),
                why = reason,
                "routing decision"
            );
            let resume = run::ResumeRequest {
                protocol: azuregap_wire::PROTOCOL,
                id: self.job.id,
                incarnation: agent.incarnation,
                offset: self.sink.offset(),
                recent: true,
            };
            stream = self.client.resume(&agent.runs, &resume, idle_timeout).await;
        }
    }

    /// Handles frames until the response ends or the connection fails.
    async fn read_frames(
        &mut self,
        stream: &mut agent_client::FrameStream,
        agent: &directory::Agent,
        observer: &mut attempt_observer::AttemptObserver,
        failures: &mut u32,
    ) -> Result<AttemptOutcome, agent_client::StreamError> {
        loop {
            let frame = stream.next_frame().await?;
            let (offset_before, is_heartbeat) =
                (self.sink.offset(), matches!(frame, frame::Frame::Heartbeat { .. }));
            if self.withdrawn_key_cancels() {
                self.cancel(agent).await;
                let code = code::Code::KeyWithdrawnRunning;
                let refusal = refusal::Refusal::may_have_run(code, "the key was withdrawn");
                return Ok(AttemptOutcome::Refused(refusal));
            }
            if let Some(outcome) = self.handle_frame(frame, agent, observer).await? {
                return Ok(outcome);
            }
            if is_heartbeat || self.sink.offset() > offset_before {
                *failures = 0;
            }
        }
    }

    async fn handle_frame(
        &mut self,
        frame: frame::Frame,
        agent: &directory::Agent,
        observer: &mut attempt_observer::AttemptObserver,
    ) -> Result<Option<AttemptOutcome>, agent_client::StreamError> {
        let cut = |reason: &str| Err(agent_client::StreamError::Cut(reason.to_owned()));
        match frame {
            frame::Frame::Accepted { id, incarnation, load, version } => {
                if id != self.job.id || incarnation != agent.incarnation {
                    return cut("an answer to another request");
                }
                self.context.router.report_load(agent, load);
                self.context.mailbox.observe_version(&agent.node, Some(&agent.control), version);
                observer.accepted();
            }
            frame::Frame::Heartbeat { load } => {
                self.context.router.report_load(agent, load);
                observer.heartbeat();
                return Ok(self.sink.is_abandoned().then_some(AttemptOutcome::CallerDisconnected));
            }
            frame::Frame::Head { status, headers } => {
                let connected = self.sink.head(status, headers).await;
                return Ok((!connected).then_some(AttemptOutcome::CallerDisconnected));
            }
            frame::Frame::Data { offset, bytes } => {
                if offset != self.sink.offset() {
                    return cut("a piece of the answer is missing");
                }
                if self.sink.offset() == 0 {
                    let class = &self.job.class.name;
                    self.context.metrics.time("first_byte", class, observer.since_accepted());
                }
                observer.data(&bytes);
                let connected = self.sink.data(bytes).await;
                return Ok((!connected).then_some(AttemptOutcome::CallerDisconnected));
            }
            frame::Frame::End { length, usage, load } => {
                self.context.router.report_load(agent, load);
                if length != self.sink.offset() {
                    return cut("the answer is shorter than announced");
                }
                self.keep_usage_copy(agent, usage);
                self.context.router.record_success(&self.job, usage);
                self.sink.end().await;
                return Ok(Some(AttemptOutcome::Complete));
            }
            frame::Frame::Refused { refusal, load } => {
                self.context.router.report_load(agent, load);
                return Ok(Some(AttemptOutcome::Refused(refusal)));
            }
        }
        Ok(None)
    }
}
