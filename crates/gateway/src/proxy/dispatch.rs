//! Sends a request to backend servers until one answers or it is given up.

use std::cell;
use std::rc;
use std::time::Duration;

use azuregap_core::ids;
use bytes::Bytes;
use http::request;
use smallvec::SmallVec;
use tokio::time;

use super::admit;
use super::attempt;
use super::choice;
use super::ticket;
use crate::codec;
use crate::decision::engine_partition;
use crate::decision::failure;
use crate::decision::health;
use crate::decision::priority;
use crate::state;

/// Sends of one request, those that reached no backend server included.
const MOST_SENDS: u32 = 10;

/// A request with less time left than this is not sent any more. Source: the shortest work of the
/// sample deployments.
const LEAST_LEFT: Duration = Duration::from_millis(10);

/// Time to wait for a backend server if a service has none.
const NO_BACKEND_WAIT: Duration = Duration::from_millis(300);

/// When to come back if a service has no backend server.
const NO_BACKEND_RETRY: Duration = Duration::from_secs(1);

/// When to come back if the backend servers have no room.
const FULL_RETRY: Duration = Duration::from_millis(400);

/// Status in logs and metrics of a request whose caller left before the answer began.
const CALLER_LEFT: u16 = 499;

/// A request on its way.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) state: rc::Rc<state::State>,
    pub(super) admitted: rc::Rc<admit::Admitted>,
    pub(super) head: rc::Rc<request::Parts>,
    pub(super) body: Bytes,
    pub(super) started: time::Instant,
    pub(super) deadline: time::Instant,
    /// Sends after which the request may have run.
    pub(super) runs: u32,
    /// Number of the last event that was relayed.
    pub(super) last_event: Option<u64>,
    /// Time to the first byte or event.
    pub(super) first: Option<Duration>,
    /// Longest pause between events.
    pub(super) pause: Duration,
    sends: u32,
    arrivals: u32,
    pub(super) tried: SmallVec<[ids::BackendId; 4]>,
    home: u8,
    uncached: u64,
    /// Whether the line on the final answer was written; shared by all copies.
    ended: rc::Rc<cell::Cell<bool>>,
}

/// A backend server's answer, with the place that the request takes there.
#[derive(Debug)]
pub(super) struct Obtained {
    pub(super) target: attempt::Target,
    pub(super) ticket: ticket::Ticket,
    pub(super) answer: attempt::Answer,
    pub(super) sent: time::Instant,
}

/// A request that was given up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct GivenUp {
    pub(super) fate: failure::Failure,
    /// When room is expected.
    pub(super) room: Duration,
    pub(super) reason: String,
}

impl Job {
    pub(super) fn new(
        state: rc::Rc<state::State>,
        admitted: admit::Admitted,
        head: request::Parts,
        body: Bytes,
        started: time::Instant,
    ) -> Self {
        let timeout = admitted.route.timeout;
        let patience = admitted.ask.patience.map_or(timeout, |patience| patience.min(timeout));
        Self {
            deadline: started + patience,
            last_event: admitted.ask.last_event,
            state,
            admitted: rc::Rc::new(admitted),
            head: rc::Rc::new(head),
            body,
            started,
            runs: 0,
            first: None,
            pause: Duration::ZERO,
            sends: 0,
            arrivals: 0,
            tried: SmallVec::new(),
            home: 0,
            uncached: 0,
            ended: rc::Rc::default(),
        }
    }

    /// Time until the request must be answered.
    pub(super) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(time::Instant::now())
    }

    /// Whether another backend server may run the request after one may have.
    pub(super) fn may_rerun(&self) -> bool {
        self.admitted.route.kind.may_retry()
            && self.runs < self.admitted.route.max_attempts
            && self.left() > LEAST_LEFT
    }

    /// Takes the outcome of the request at a backend server.
    pub(super) fn observe(&self, target: &attempt::Target, outcome: health::Outcome) {
        let label = match outcome {
            health::Outcome::Success => "good",
            health::Outcome::Failure => "faulty",
            health::Outcome::Unreachable => "unreachable",
            health::Outcome::Overloaded => "full",
        };
        self.state.metrics.attempts.with_label_values(&[label]).inc();
        let mut directory = self.state.directory.borrow_mut();
        let known = directory.get_mut(&target.id);
        if let Some(known) = known.filter(|known| known.backend.started_ms == target.born) {
            known.health.observe(outcome, time::Instant::now());
        }
    }

    /// Sends the request until a backend server answers.
    pub(super) async fn obtain(&mut self) -> Result<Obtained, GivenUp> {
        let mut reason = "no backend server".to_owned();
        let mut room = NO_BACKEND_RETRY;
        loop {
            if self.left() < LEAST_LEFT {
                return Err(self.given_up(room, "the time is over".to_owned()));
            }
            let Some(target) = self.find().await else {
                return Err(self.given_up(room, reason));
            };
            if self.sends >= MOST_SENDS || !self.may_send() {
                return Err(self.given_up(room, reason));
            }
            let sent = time::Instant::now();
            let ticket = self.ticket(&target);
            self.sends += 1;
            self.tried.push(target.id.clone());
            (self.home, self.uncached) = (target.home, target.uncached);
            match self.send(&target).await {
                attempt::Sent::Answer(answer) => {
                    self.arrivals += 1;
                    self.runs += 1;
                    return Ok(Obtained { target, ticket, answer: *answer, sent });
                }
                attempt::Sent::NotRun => {
                    self.arrivals += 1;
                    self.observe(&target, health::Outcome::Overloaded);
                    (room, reason) = (FULL_RETRY, "the backend server has no room".to_owned());
                }
                attempt::Sent::Unsent(cause) => {
                    self.observe(&target, health::Outcome::Unreachable);
                    reason = cause;
                }
                attempt::Sent::Unknown(cause) => {
                    self.arrivals += 1;
                    self.runs += 1;
                    self.observe(&target, health::Outcome::Unreachable);
                    reason = cause;
                    if !self.may_rerun() {
                        return Err(self.given_up(room, reason));
                    }
                }
            }
            self.log_attempt(&target, &reason);
        }
    }

    /// A send after the first that arrived takes from the shared budget.
    fn may_send(&self) -> bool {
        let state = &self.state;
        self.arrivals == 0
            || state.repeats.borrow_mut().try_acquire(
                &self.admitted.service,
                state.gateways(),
                time::Instant::now(),
            )
    }

    fn ticket(&self, target: &attempt::Target) -> ticket::Ticket {
        ticket::Ticket::new(&self.state, target, self.rank(target), self.is_long())
    }

    /// Rank of the request at a backend server.
    fn rank(&self, target: &attempt::Target) -> priority::Rank {
        let ranks = self.admitted.ranks;
        if self.is_late(target) { ranks.late } else { ranks.on_time }
    }

    /// Whether the prompt is long enough to disturb the streams beside it.
    pub(super) fn is_long(&self) -> bool {
        u64::from(self.admitted.ask.prompt_tokens) >= engine_partition::LONG_PROMPT_TOKENS
    }

    /// Whether a long prompt can't be read in time at a backend server, even before all others that
    /// can't either.
    fn is_late(&self, target: &attempt::Target) -> bool {
        let paces = self.state.paces.borrow();
        let pace = paces.get(&self.admitted.service).copied().unwrap_or_default();
        let (spent, work) = (self.started.elapsed(), target.before + target.uncached);
        self.is_long() && pace.is_late(spent, work, self.admitted.route.latency_target)
    }

    async fn send(&self, target: &attempt::Target) -> attempt::Sent {
        let stamp = codec::Stamp {
            left: self.left(),
            backend: target.id.clone(),
            team: self.admitted.team.clone(),
            rank: self.rank(target),
            last_event: self.last_event,
        };
        let id = &self.admitted.ask.id;
        let service = &self.admitted.service;
        attempt::send(&self.state, target, &self.head, &self.body, &stamp, id, service).await
    }

    fn given_up(&self, room: Duration, reason: String) -> GivenUp {
        let fate = match (self.runs, self.left() < LEAST_LEFT) {
            (0, _) => failure::Failure::NotExecuted,
            (_, true) => failure::Failure::TimedOut,
            (_, false) => failure::Failure::OutcomeUnknown,
        };
        GivenUp { fate, room, reason }
    }

    /// Chooses a backend server; waits a moment if the service has none.
    async fn find(&self) -> Option<attempt::Target> {
        let until = self.deadline.min(time::Instant::now() + NO_BACKEND_WAIT);
        loop {
            if let Some(target) = choice::choose(self) {
                return Some(target);
            }
            if !self.tried.is_empty() {
                return None;
            }
            let changed = self.state.changed.notified();
            if time::timeout_at(until, changed).await.is_err() {
                return choice::choose(self);
            }
        }
    }

    fn log_attempt(&self, target: &attempt::Target, reason: &str) {
        if self.state.lines.failure(time::Instant::now()) {
            tracing::info!(
                request = self.admitted.ask.id,
                backend = target.id,
                sends = self.sends,
                runs = self.runs,
                reason,
                "an attempt failed"
            );
        }
    }

    /// The first byte or event came.
    pub(super) fn began(&mut self) {
        let first = self.started.elapsed();
        self.first = Some(first);
        self.state.metrics.first_byte(first);
    }

    /// Writes the line on the final answer.
    pub(super) fn log_end(&self, status: u16, backend: &str, outcome: &str, reason: &str) {
        self.ended.set(true);
        let state = &self.state;
        let now = time::Instant::now();
        state.metrics.requests.with_label_values(&[&status.to_string()]).inc();
        state.metrics.answered(now.saturating_duration_since(self.started));
        let good = status < 500 && outcome == "complete";
        let free = if good { state.lines.served(now) } else { state.lines.failure(now) };
        if !free {
            return;
        }
        let age = state.freshness.borrow().age(state.clock.now()).unwrap_or_default();
        tracing::info!(
            request = self.admitted.ask.id,
            route = self.admitted.route.name,
            team = self.admitted.team,
            rank = self.admitted.ranks.on_time,
            service = self.admitted.service,
            configuration = self.admitted.version,
            configuration_age_ms = age.as_millis() as u64,
            backend,
            home = self.home,
            uncached = self.uncached,
            prompt = self.admitted.ask.prompt_tokens,
            sends = self.sends,
            runs = self.runs,
            status,
            outcome,
            reason,
            first_ms = self.first.map(|first| first.as_millis() as u64),
            pause_ms = self.pause.as_millis() as u64,
            took_ms = now.saturating_duration_since(self.started).as_millis() as u64,
            "request ended"
        );
    }
}

impl Drop for Job {
    /// A request whose handling is dropped before its end was left by its caller.
    fn drop(&mut self) {
        if rc::Rc::strong_count(&self.ended) > 1 || self.ended.get() {
            return;
        }
        let backend = self.tried.last().cloned().unwrap_or_default();
        let reason = if self.state.is_stopping() {
            "the process ended, or the caller left"
        } else {
            "the caller left before the answer began"
        };
        self.log_end(CALLER_LEFT, &backend, "caller left", reason);
    }
}
