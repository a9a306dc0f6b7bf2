//! State of one request in the scheduler.

use std::sync;
use std::time;

use azuregap_core::ids;
use azuregap_wire::run;

use crate::response;

/// Lifecycle state of a run.
#[derive(Debug)]
pub(super) enum State {
    /// Queued; the request is moved out when the run starts.
    Waiting(Option<Box<run::RunRequest>>),
    /// In progress at the backend server.
    Running(actix::SpawnHandle),
    /// Ended at this time.
    Ended(tokio::time::Instant),
}

/// Record of a request id that must not run again.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tombstone {
    /// When the id was recorded.
    pub(super) since: tokio::time::Instant,
    /// Whether the request ran or may have run.
    pub(super) ran: bool,
}

/// One request, from its admission until its response is dropped.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) response: sync::Arc<response::ResponseBuffer>,
    pub(super) team: ids::TeamId,
    pub(super) class: ids::ClassId,
    pub(super) route: String,
    pub(super) cost: u64,
    pub(super) idempotent: bool,
    pub(super) state: State,
    /// When the response was first found without a reader.
    unread_since: Option<tokio::time::Instant>,
}

impl Run {
    pub(super) fn new(request: run::RunRequest) -> Self {
        Self {
            response: sync::Arc::new(response::ResponseBuffer::new(request.id, request.offset)),
            team: request.team.clone(),
            class: request.class.clone(),
            route: request.route.clone(),
            cost: request.cost,
            idempotent: request.idempotent,
            state: State::Waiting(Some(Box::new(request))),
            unread_since: None,
        }
    }

    /// Moves the request out of a queued run; returns none after the first call.
    pub(super) fn take_request(&mut self) -> Option<Box<run::RunRequest>> {
        match &mut self.state {
            State::Waiting(request) => request.take(),
            State::Running(_) | State::Ended(_) => None,
        }
    }

    pub(super) const fn is_ended(&self) -> bool {
        matches!(self.state, State::Ended(_))
    }

    pub(super) fn finish(&mut self, outcome: response::Outcome) {
        self.state = State::Ended(tokio::time::Instant::now());
        self.response.finish(outcome);
    }

    /// Whether the run ended at least `retention` ago.
    pub(super) fn is_expired(&self, now: tokio::time::Instant, retention: time::Duration) -> bool {
        matches!(self.state, State::Ended(at) if now.saturating_duration_since(at) >= retention)
    }

    /// Whether the run is unfinished and no connection has read its response for `retention`.
    pub(super) fn is_abandoned(
        &mut self,
        now: tokio::time::Instant,
        retention: time::Duration,
    ) -> bool {
        if self.is_ended() || self.response.readers() > 0 {
            self.unread_since = None;
            return false;
        }
        let since = *self.unread_since.get_or_insert(now);
        now.saturating_duration_since(since) >= retention
    }
}
