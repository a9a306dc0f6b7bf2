//! Sends a request to backend servers until one responds or the request fails.

use std::cell;
use std::rc;
use std::time::Duration;

use azuregap_core::ids;
use bytes::Bytes;
use http::request;
use smallvec::SmallVec;
use tokio::time;

use super::access;
use super::admission;
use super::attempt;
use super::client;
use super::eligibility;
use super::guards;
use super::waiting;
use crate::codec;
use crate::cold_servers;
use crate::decision::engine_partition;
use crate::decision::failure;
use crate::decision::health;
use crate::decision::memory_budget;
use crate::decision::priority;
use crate::decision::quarantine;
use crate::directory;
use crate::request_digest;
use crate::state;

/// Maximum sends of one request, including those that reached no backend server.
const MAX_SENDS: u32 = 10;

/// A request with less time left than this is not sent any more. It is the shortest processing time
/// in the sample deployments.
const MIN_TIME_LEFT: Duration = Duration::from_millis(10);

/// `Retry-After` base if the service has no backend server.
const NO_BACKEND_RETRY: Duration = Duration::from_secs(1);

/// `Retry-After` base if the backend servers have no free capacity.
const OVERLOADED_RETRY: Duration = Duration::from_millis(400);

/// Status in logs and metrics of a request whose client disconnected before the response began.
const CLIENT_CLOSED_STATUS: u16 = 499;

/// A request while it is processed.
#[derive(Clone, Debug)]
pub(super) struct ProxyRequest {
    pub(super) state: rc::Rc<state::State>,
    pub(super) client: rc::Rc<client::Client>,
    pub(super) admitted: rc::Rc<admission::Admitted>,
    pub(super) head: rc::Rc<request::Parts>,
    pub(super) body: Bytes,
    pub(super) started: time::Instant,
    pub(super) deadline: time::Instant,
    /// Number of sends after which the request may have been executed.
    pub(super) executions: u32,
    /// Whether a send is in progress, after which the request may have been executed.
    pub(super) in_flight: bool,
    /// Id of the last event that was relayed.
    pub(super) last_event: Option<u64>,
    /// Time of day at which the answer began.
    pub(super) began_at: Duration,
    /// Time to the first byte or event.
    pub(super) first_byte: Option<Duration>,
    /// Longest time between two events.
    pub(super) longest_gap: Duration,
    /// Shortest time between two events.
    pub(super) shortest_gap: Option<Duration>,
    pub(super) sends: u32,
    /// Number of sends that reached a backend server.
    pub(super) deliveries: u32,
    pub(super) tried: SmallVec<[ids::BackendId; 4]>,
    /// Time of day of the last send.
    pub(super) sent_at: Duration,
    /// Digest of the request, once it is needed; shared by all clones.
    pub(super) digest: rc::Rc<cell::OnceCell<request_digest::RequestDigest>>,
    /// How the request was admitted at the last send.
    pub(super) admission: quarantine::Admission,
    /// Whether it was recorded that the prompt is sound.
    pub(super) is_recorded: bool,
    pub(super) preference: u8,
    pub(super) uncached_tokens: u64,
    /// Prompt tokens that waited or were read at the engine of the last send, as far as known.
    pub(super) reading: u64,
    /// Room at that engine, if streams there name a pause.
    pub(super) room: Option<u64>,
    /// Whether the end of the request was logged; shared by all clones.
    pub(super) end_logged: rc::Rc<cell::Cell<bool>>,
    /// Memory that it takes while it runs; shared by all clones.
    _memory: rc::Rc<memory_budget::Reservation>,
}

/// A backend server's response, with the guard that counts the request in its load.
#[derive(Debug)]
pub(super) struct BackendResponse {
    pub(super) target: attempt::Target,
    pub(super) load_guard: guards::LoadGuard,
    pub(super) response: attempt::Response,
    pub(super) sent_at: time::Instant,
}

/// Why a request was not answered by a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct RequestFailure {
    pub(super) kind: failure::Failure,
    /// When capacity is expected to be available again.
    pub(super) retry_delay: Duration,
    pub(super) reason: String,
}

impl ProxyRequest {
    pub(super) fn new(
        state: rc::Rc<state::State>,
        client: rc::Rc<client::Client>,
        admitted: admission::Admitted,
        head: request::Parts,
        body: Bytes,
        memory: memory_budget::Reservation,
        started: time::Instant,
    ) -> Self {
        let route_timeout = admitted.route.timeout;
        let timeout =
            admitted.headers.timeout.map_or(route_timeout, |timeout| timeout.min(route_timeout));
        Self {
            deadline: started + timeout,
            last_event: admitted.headers.last_event,
            state,
            client,
            admitted: rc::Rc::new(admitted),
            head: rc::Rc::new(head),
            body,
            started,
            executions: 0,
            in_flight: false,
            began_at: Duration::ZERO,
            first_byte: None,
            longest_gap: Duration::ZERO,
            shortest_gap: None,
            sends: 0,
            deliveries: 0,
            tried: SmallVec::new(),
            sent_at: Duration::ZERO,
            digest: rc::Rc::default(),
            admission: quarantine::Admission::Normal,
            is_recorded: false,
            preference: 0,
            uncached_tokens: 0,
            reading: 0,
            room: None,
            end_logged: rc::Rc::default(),
            _memory: rc::Rc::new(memory),
        }
    }

    /// Time until the deadline.
    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(time::Instant::now())
    }

    /// Whether the request may be sent again although it may have been executed.
    pub(super) fn may_retry(&self) -> bool {
        self.admitted.route.kind.may_retry()
            && self.executions < self.admitted.route.max_attempts
            && self.time_left() > MIN_TIME_LEFT
            && self.state.quarantine.borrow().may_retry(&self.known_suspects())
    }

    /// Records the outcome of the request at a backend server.
    pub(super) fn observe(&self, target: &attempt::Target, outcome: health::Outcome) {
        let label = match outcome {
            health::Outcome::Success => "good",
            health::Outcome::Failure => "faulty",
            health::Outcome::Unreachable => "unreachable",
            health::Outcome::Overloaded => "full",
        };
        self.state.metrics.attempts.with_label_values(&[label]).inc();
        let mut directory = self.state.directory.borrow_mut();
        let server = directory.get_mut(&target.id);
        if let Some(server) = server.filter(|server| server.backend.started_ms == target.started_ms)
        {
            server.health.observe(outcome, time::Instant::now());
        }
    }

    /// Takes what a send to a backend server needs: a zone that isn't withdrawn, a place if the server
    /// is cold or names a limit, and the trial after a quiet period. Every send passes here; returns
    /// whether the request may be sent.
    fn begin_send(&self, target: &attempt::Target, now: time::Instant) -> bool {
        let (state, hash) = (&self.state, directory::id_hash(&target.id));
        if !eligibility::is_open_zone(state, &target.zone) {
            return false;
        }
        let mut limits = state.backend_limits.borrow_mut();
        let share = || state.limit_share(hash);
        let has_place = limits.place(hash, target.started_ms, share, state.clock.now()).is_free();
        let protection = cold_servers::protection(state, &self.admitted.service);
        let is_cold =
            protection.is_some_and(|protection| protection.cold_left(state, hash).is_some());
        if !has_place || protection.is_some_and(|protection| !protection.try_send(state, hash)) {
            return false;
        }
        if !limits.try_send(hash, target.started_ms, share, state.clock.now()) {
            return false;
        }
        let is_limited = limits.limit(hash, target.started_ms).is_some();
        if is_limited {
            state.metrics.record_limited_send(&target.id);
        }
        if (is_limited || is_cold)
            && let Some(line) = state.waiting_lines.borrow_mut().get_mut(&self.admitted.service)
        {
            line.record_place(self.admitted.ranks.on_time, now);
        }
        state.directory.borrow_mut().record_send(&target.id, target.started_ms, now);
        true
    }

    /// Sends the request until a backend server responds.
    ///
    /// # Errors
    ///
    /// If no backend server is available, the time or the retry budget is used up, or the request
    /// may have been executed and must not be sent again.
    pub(super) async fn send_until_response(&mut self) -> Result<BackendResponse, RequestFailure> {
        let mut reason = "no backend server available".to_owned();
        let mut retry_delay = NO_BACKEND_RETRY;
        loop {
            if self.time_left() < MIN_TIME_LEFT {
                return Err(self.failure(retry_delay, "deadline exceeded".to_owned()));
            }
            let target = match self.wait_for_backend().await {
                Ok(target) => target,
                Err(waiting::Unavailable::None) => return Err(self.failure(retry_delay, reason)),
                Err(waiting::Unavailable::Withdrawn) => {
                    let reason = "zone withdrawn: all backend servers are in withdrawn zones";
                    return Err(self.failure(retry_delay, reason.to_owned()));
                }
                Err(waiting::Unavailable::Quiet(wait)) => {
                    let reason = "all backend servers ask for a quiet period".to_owned();
                    return Err(self.failure(failure::not_before(Some(wait)), reason));
                }
                Err(waiting::Unavailable::Limited(wait)) => {
                    let reason = access::refusal(self).to_owned();
                    return Err(self.failure(failure::not_before(wait), reason));
                }
            };
            self.admission = self.screen()?;
            if self.sends >= MAX_SENDS {
                return Err(self.failure(retry_delay, reason));
            }
            let retry_guard = self.acquire_send().ok_or_else(|| {
                self.failure(retry_delay, "the retry budget is used up".to_owned())
            })?;
            let sent_at = time::Instant::now();
            if !self.begin_send(&target, sent_at) {
                continue;
            }
            let load_guard = self.load_guard(&target);
            self.begin_trial();
            self.sends += 1;
            self.sent_at = self.state.time_of_day();
            self.tried.push(target.id.clone());
            (self.preference, self.uncached_tokens) = (target.preference, target.uncached_tokens);
            (self.reading, self.room) = (target.reading, target.room);
            self.record_room();
            self.in_flight = true;
            let outcome = tokio::select! {
                outcome = self.send(&target) => outcome,
                rejection = self.wait_for_rejection() => {
                    self.executions += 1;
                    return Err(self.withdraw(&rejection, &target));
                }
            };
            self.in_flight = false;
            drop(retry_guard);
            match outcome {
                attempt::Outcome::Response(response) => {
                    self.deliveries += 1;
                    self.executions += 1;
                    return Ok(BackendResponse {
                        target,
                        load_guard,
                        response: *response,
                        sent_at,
                    });
                }
                attempt::Outcome::NotExecuted => {
                    self.deliveries += 1;
                    self.observe(&target, health::Outcome::Overloaded);
                    (retry_delay, reason) =
                        (OVERLOADED_RETRY, "the backend server did not execute it".to_owned());
                }
                attempt::Outcome::Withheld(cause) => {
                    // Nothing was sent, so the backend server may still get it later.
                    self.tried.pop();
                    reason = cause.to_owned();
                }
                attempt::Outcome::NotSent(cause) => {
                    cold_servers::record_loss(&self.state, &self.admitted.service, &target.id);
                    self.observe(&target, health::Outcome::Unreachable);
                    reason = cause;
                }
                attempt::Outcome::Unknown(interruption) => {
                    self.deliveries += 1;
                    self.executions += 1;
                    if self.time_left().is_zero() {
                        self.record_duration();
                    }
                    self.observe(&target, health::Outcome::Unreachable);
                    self.record_interruption(&target, &interruption).await;
                    reason = interruption.reason().to_owned();
                    if !self.may_retry() {
                        self.log_failed_attempt(&target, &reason);
                        return Err(self.failure(retry_delay, reason));
                    }
                }
            }
            self.log_failed_attempt(&target, &reason);
        }
    }

    /// Counts whether the prompt fits into the room at its engine.
    fn record_room(&self) {
        if let Some(room) = self.room {
            let outcome = if self.reading + self.uncached_tokens <= room { "fits" } else { "over" };
            self.state.metrics.record_room(&self.admitted.service, outcome, room);
        }
    }

    fn load_guard(&self, target: &attempt::Target) -> guards::LoadGuard {
        guards::LoadGuard::new(&self.state, target, self.rank(target), self.is_long())
    }

    /// Scheduling rank of the request at a backend server.
    fn rank(&self, target: &attempt::Target) -> priority::Rank {
        let ranks = self.admitted.ranks;
        if self.is_late(target) { ranks.late } else { ranks.on_time }
    }

    /// Whether the prompt is long enough to slow down the streams on the same model engine.
    pub(super) fn is_long(&self) -> bool {
        u64::from(self.admitted.headers.prompt_tokens) >= engine_partition::LONG_PROMPT_TOKENS
    }

    /// Whether a long prompt would miss its latency target at a backend server even if it was
    /// prefilled before all other late prompts.
    fn is_late(&self, target: &attempt::Target) -> bool {
        let speeds = self.state.prefill_speeds.borrow();
        let speed = speeds.get(&self.admitted.service).copied().unwrap_or_default();
        let (elapsed, tokens) =
            (self.started.elapsed(), target.queued_tokens + target.uncached_tokens);
        self.is_long() && speed.is_late(elapsed, tokens, self.admitted.route.latency_target)
    }

    async fn send(&self, target: &attempt::Target) -> attempt::Outcome {
        let upstream = codec::UpstreamHeaders {
            timeout: self.time_left(),
            backend: target.id.clone(),
            team: self.admitted.team.clone(),
            rank: self.rank(target),
            last_event: self.last_event,
            fetch_source: target.fetch_source,
        };
        let id = &self.admitted.headers.id;
        let service = &self.admitted.service;
        attempt::send(&self.state, target, &self.head, &self.body, &upstream, id, service).await
    }

    pub(super) fn failure(&self, retry_delay: Duration, reason: String) -> RequestFailure {
        let is_unsent = self.executions == 0 && !self.in_flight;
        let kind = match (is_unsent, self.time_left() < MIN_TIME_LEFT) {
            (true, _) => failure::Failure::NotExecuted,
            (_, true) => failure::Failure::TimedOut,
            (_, false) => failure::Failure::OutcomeUnknown,
        };
        RequestFailure { kind, retry_delay, reason }
    }

    /// Records how long the request has taken, unless it is a stream.
    pub(super) fn record_duration(&self) {
        if !self.admitted.route.kind.is_stream() {
            self.state.record_duration(&self.admitted.service, self.started.elapsed());
        }
    }

    /// Records that the first byte or event has arrived.
    pub(super) fn record_first_byte(&mut self) {
        let elapsed = self.started.elapsed();
        self.first_byte = Some(elapsed);
        self.began_at = self.state.time_of_day();
        self.state.metrics.observe_first_byte(elapsed);
    }
}

impl Drop for ProxyRequest {
    /// Records the end of a request that was dropped before it: the client has disconnected.
    fn drop(&mut self) {
        if rc::Rc::strong_count(&self.end_logged) > 1 || self.end_logged.get() {
            return;
        }
        let backend = self.tried.last().cloned().unwrap_or_default();
        let reason = if self.state.is_stopping() {
            "the process stopped, or the client disconnected"
        } else {
            "the client disconnected before the response began"
        };
        self.record_end(CLIENT_CLOSED_STATUS, &backend, "caller left", reason);
    }
}
