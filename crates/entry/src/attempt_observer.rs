//! Reports the progress of one attempt to the router, for replica selection.

use std::time;

use azuregap_control::directory;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_policy::balancer;
use tokio::time::Instant;

use crate::router;

/// Terminator of a server-sent event. One event holds about one token.
const EVENT_TERMINATOR: &[u8] = b"\n\n";

/// Reports the progress and the end of one attempt to the router.
#[derive(Debug)]
pub struct AttemptObserver {
    router: router::Router,
    agent: directory::Agent,
    accepted_at: Option<Instant>,
    /// Time of the last reported progress; none before the first byte.
    last_progress: Option<Instant>,
    /// Whether the end of the attempt was reported.
    end_reported: bool,
}

impl AttemptObserver {
    /// Creates an observer for a request that is sent to `agent`.
    #[must_use]
    pub const fn new(router: router::Router, agent: directory::Agent) -> Self {
        Self { router, agent, accepted_at: None, last_progress: None, end_reported: false }
    }

    /// Reports that the agent accepted the request.
    pub fn accepted(&mut self) {
        if self.accepted_at.is_none() {
            self.accepted_at = Some(Instant::now());
            self.observe(balancer::Observation::Accepted);
        }
    }

    /// Reports received bytes of the response body.
    pub fn data(&mut self, bytes: &[u8]) {
        let events =
            bytes.windows(EVENT_TERMINATOR.len()).filter(|part| *part == EVENT_TERMINATOR).count();
        self.progress(u32::try_from(events.max(1)).unwrap_or(u32::MAX));
    }

    /// Reports a heartbeat: time has passed without a body byte.
    pub fn heartbeat(&mut self) {
        self.progress(0);
    }

    fn progress(&mut self, tokens: u32) {
        let Some(accepted_at) = self.accepted_at else { return };
        let now = Instant::now();
        match self.last_progress {
            None => {
                self.observe(balancer::Observation::FirstByte { elapsed: now - accepted_at });
                self.last_progress = (tokens > 0).then_some(now);
            }
            Some(last_progress) => {
                self.observe(balancer::Observation::Progress {
                    tokens,
                    elapsed: now - last_progress,
                });
                self.last_progress = Some(now);
            }
        }
    }

    /// Reports that the response is complete or that the caller has disconnected.
    pub fn completed(&mut self) {
        let was_accepted = self.accepted_at.is_some();
        self.report_end(if was_accepted {
            balancer::Observation::Done
        } else {
            balancer::Observation::Unreachable
        });
    }

    /// Reports that the agent refused the request or that the run failed.
    pub fn refused(&mut self, refusal: &refusal::Refusal) {
        self.report_end(match (self.accepted_at.is_some(), refusal.not_run) {
            (true, true) => balancer::Observation::Done,
            (true, false) => balancer::Observation::Interrupted,
            (false, _) => match refusal.code {
                code::Code::Leaving => balancer::Observation::Leaving,
                code::Code::PeerUnavailable | code::Code::BackendFailed => {
                    balancer::Observation::Unreachable
                }
                _ => balancer::Observation::Refused,
            },
        });
    }

    /// Reports that the agent can no longer be reached.
    pub fn connection_lost(&mut self) {
        let was_accepted = self.accepted_at.is_some();
        self.report_end(if was_accepted {
            balancer::Observation::Interrupted
        } else {
            balancer::Observation::Unreachable
        });
    }

    /// Time since the agent accepted the request; zero before that.
    #[must_use]
    pub fn since_accepted(&self) -> time::Duration {
        self.accepted_at.map_or(time::Duration::ZERO, |accepted_at| accepted_at.elapsed())
    }

    fn observe(&self, observation: balancer::Observation) {
        self.router.observe(&self.agent, observation);
    }

    fn report_end(&mut self, observation: balancer::Observation) {
        if !self.end_reported {
            self.end_reported = true;
            self.observe(observation);
        }
    }
}

/// Releases the replica's load when an attempt is dropped before its end, as at its deadline.
impl Drop for AttemptObserver {
    fn drop(&mut self) {
        let was_accepted = self.accepted_at.is_some();
        self.report_end(if was_accepted {
            balancer::Observation::Done
        } else {
            balancer::Observation::Cancelled
        });
    }
}
