//! Lets a request wait for a backend server that may get it; see [`crate::decision::waiting_line`].

use std::rc;
use std::time::Duration;

use azuregap_core::ids;
use smallvec::SmallVec;
use tokio::time;

use super::access;
use super::attempt;
use super::dispatch;
use super::eligibility;
use super::selection;
use crate::decision::waiting_line;
use crate::directory;
use crate::state;

/// How long a request waits for a backend server if its service has none.
const NO_BACKEND_WAIT: Duration = Duration::from_millis(300);

/// Shortest time after which a waiting request looks for a place again.
const MIN_WAIT: Duration = Duration::from_millis(10);

/// Why no backend server may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Unavailable {
    /// None is left that was not tried.
    None,
    /// All of them are in withdrawn availability zones.
    Withdrawn,
    /// All of them ask for a quiet period; the first one ends after this time.
    Quiet(Duration),
    /// The limits that they name are used up; a place is expected after this time, or never.
    Limited(Option<Duration>),
}

/// A request's place in the waiting line, until it is dropped.
struct Waiting {
    state: rc::Rc<state::State>,
    service: ids::PoolId,
    ticket: waiting_line::Ticket,
    since: time::Instant,
}

impl Waiting {
    fn join(request: &dispatch::ProxyRequest) -> Self {
        let (state, service) = (request.state.clone(), request.admitted.service.clone());
        let tried: SmallVec<[u32; 4]> =
            request.tried.iter().map(|id| directory::id_hash(id)).collect();
        let mut lines = state.waiting_lines.borrow_mut();
        let line = lines.entry(service.clone()).or_default();
        let (rank, now) = (request.admitted.ranks.on_time, time::Instant::now());
        let ticket = line.join(rank, request.deadline, &tried, now);
        drop(lines);
        Self { state, service, ticket, since: now }
    }

    /// Number of requests that go before this one.
    fn ahead(&self) -> usize {
        let lines = self.state.waiting_lines.borrow();
        lines.get(&self.service).map_or(0, |line| line.ahead(&self.ticket))
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if let Some(line) = self.state.waiting_lines.borrow_mut().get_mut(&self.service) {
            line.leave(&self.ticket);
        }
        self.state.capacity_changed.notify_waiters();
    }
}

impl dispatch::ProxyRequest {
    /// Selects a backend server. Waits for a place if all that are left name limits, as long as the
    /// request can still be answered in time, and a moment if the service has no backend server.
    ///
    /// # Errors
    ///
    /// If no backend server may get the request.
    pub(super) async fn wait_for_backend(&self) -> Result<attempt::Target, Unavailable> {
        let until = self.deadline.min(time::Instant::now() + NO_BACKEND_WAIT);
        let mut waiting: Option<Waiting> = None;
        loop {
            let ticket = waiting.as_ref().map(|waiting| waiting.ticket);
            if let Some(target) = selection::select(self, ticket.as_ref()) {
                if waiting.is_some() {
                    self.log_wait(waiting.as_ref(), "placed");
                }
                return Ok(target);
            }
            if eligibility::is_withdrawn(self) {
                return Err(Unavailable::Withdrawn);
            }
            if let Some(quiet) = selection::shortest_quiet_time(self) {
                return Err(Unavailable::Quiet(quiet));
            }
            let changed = self.state.capacity_changed.notified();
            let wait_until = match access::next_place(self) {
                access::NextPlace::None => {
                    if !self.tried.is_empty() || time::Instant::now() >= until {
                        return Err(Unavailable::None);
                    }
                    until
                }
                access::NextPlace::Elsewhere(wait) => {
                    return Err(self.refuse_place(waiting.as_ref(), wait));
                }
                access::NextPlace::Here { wait: next, pace } => {
                    let Some(waiting) = &waiting else {
                        waiting = Some(Waiting::join(self));
                        continue;
                    };
                    let wait = waiting_line::expected_wait(next, pace, waiting.ahead());
                    let target = self.admitted.route.latency_target;
                    let target_left = target.saturating_sub(self.started.elapsed());
                    let left = self.time_left();
                    if !wait.is_some_and(|wait| waiting_line::may_wait(wait, target_left, left)) {
                        return Err(self.refuse_place(Some(waiting), wait));
                    }
                    time::Instant::now() + next.max(MIN_WAIT)
                }
            };
            // Whether there is a change or not, the next round looks at what there is now.
            let _ = time::timeout_at(wait_until, changed).await;
        }
    }

    /// Records that the request gets no place.
    fn refuse_place(&self, waiting: Option<&Waiting>, wait: Option<Duration>) -> Unavailable {
        let (rank, now) = (self.admitted.ranks.on_time, time::Instant::now());
        let mut lines = self.state.waiting_lines.borrow_mut();
        lines.entry(self.admitted.service.clone()).or_default().record_refusal(rank, now);
        drop(lines);
        self.log_wait(waiting, "refused");
        Unavailable::Limited(wait)
    }

    /// Logs that a request got a place after a wait or was refused, and counts it.
    fn log_wait(&self, waiting: Option<&Waiting>, outcome: &str) {
        let now = time::Instant::now();
        self.state.metrics.record_limit_wait(outcome);
        if self.state.log_limiter.allow_failure(now) {
            let waited = waiting.map(|waiting| now.saturating_duration_since(waiting.since));
            tracing::info!(
                request = self.admitted.headers.id,
                service = self.admitted.service,
                rank = self.admitted.ranks.on_time,
                waited_ms = waited.unwrap_or_default().as_millis() as u64,
                ahead = waiting.map_or(0, Waiting::ahead),
                outcome,
                "request needed a place at a backend server with a limit"
            );
        }
    }
}
