//! What one attempt shows of its replica, told to the router as it happens.

use std::time;

use azuregap_control::directory;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_policy::balancer;
use tokio::time::Instant;

use crate::router;

/// End of one server-sent event, which carries about one token.
const EVENT_END: &[u8] = b"\n\n";

/// Observes one attempt.
#[derive(Debug)]
pub struct Sight {
    router: router::Router,
    agent: directory::Agent,
    accepted: Option<Instant>,
    /// When the last observation of progress was made; none before the first byte.
    moved: Option<Instant>,
    /// Whether the end was told.
    ended: bool,
}

impl Sight {
    /// Starts with a request that was just sent to `agent`.
    #[must_use]
    pub const fn new(router: router::Router, agent: directory::Agent) -> Self {
        Self { router, agent, accepted: None, moved: None, ended: false }
    }

    /// The agent took the request.
    pub fn accepted(&mut self) {
        if self.accepted.is_none() {
            self.accepted = Some(Instant::now());
            self.tell(balancer::Observation::Accepted);
        }
    }

    /// Bytes of the answer came.
    pub fn data(&mut self, bytes: &[u8]) {
        let ends = bytes.windows(EVENT_END.len()).filter(|part| *part == EVENT_END).count();
        self.progress(u32::try_from(ends.max(1)).unwrap_or(u32::MAX));
    }

    /// Time passed without a byte.
    pub fn waited(&mut self) {
        self.progress(0);
    }

    fn progress(&mut self, tokens: u32) {
        let Some(accepted) = self.accepted else { return };
        let now = Instant::now();
        match self.moved {
            None => {
                self.tell(balancer::Observation::FirstByte { elapsed: now - accepted });
                self.moved = (tokens > 0).then_some(now);
            }
            Some(moved) => {
                self.tell(balancer::Observation::Progress { tokens, elapsed: now - moved });
                self.moved = Some(now);
            }
        }
    }

    /// The answer is whole, or its caller went away.
    pub fn done(&mut self) {
        let known = self.accepted.is_some();
        self.end(if known {
            balancer::Observation::Done
        } else {
            balancer::Observation::Unreachable
        });
    }

    /// The agent refused the request or its run failed.
    pub fn refused(&mut self, refusal: &refusal::Refusal) {
        self.end(match (self.accepted.is_some(), refusal.not_run) {
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

    /// The agent cannot be reached any more.
    pub fn lost(&mut self) {
        let known = self.accepted.is_some();
        self.end(if known {
            balancer::Observation::Interrupted
        } else {
            balancer::Observation::Unreachable
        });
    }

    /// Time since the agent took the request.
    #[must_use]
    pub fn age(&self) -> time::Duration {
        self.accepted.map_or(time::Duration::ZERO, |accepted| accepted.elapsed())
    }

    fn tell(&self, outcome: balancer::Observation) {
        self.router.observe(&self.agent, outcome);
    }

    fn end(&mut self, outcome: balancer::Observation) {
        if !self.ended {
            self.ended = true;
            self.tell(outcome);
        }
    }
}

/// An attempt that is given up, as at its deadline, leaves no load behind.
impl Drop for Sight {
    fn drop(&mut self) {
        let known = self.accepted.is_some();
        self.end(if known {
            balancer::Observation::Done
        } else {
            balancer::Observation::Cancelled
        });
    }
}
