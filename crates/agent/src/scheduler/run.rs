//! One request at the desk.

use std::sync;
use std::time;

use azuregap_core::ids;
use azuregap_wire::run;

use crate::response;

/// Where a run stands.
#[derive(Debug)]
pub(super) enum State {
    /// It waits in the queue; the request is taken out when it starts.
    Waiting(Option<Box<run::RunRequest>>),
    /// The backend server works on it.
    Running(actix::SpawnHandle),
    /// It ended then.
    Ended(tokio::time::Instant),
}

/// What is left of a request that must not run any more.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tombstone {
    /// Since when it must not run.
    pub(super) since: tokio::time::Instant,
    /// Whether it ran or may have run.
    pub(super) ran: bool,
}

/// One request, from its admission until its answer is dropped.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) response: sync::Arc<response::ResponseBuffer>,
    pub(super) team: ids::TeamId,
    pub(super) class: ids::ClassId,
    pub(super) route: String,
    pub(super) cost: u64,
    pub(super) idempotent: bool,
    pub(super) state: State,
    /// Since when no connection reads the answer.
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

    /// Takes the request out, once.
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

    /// Whether it ended at least `keep` ago.
    pub(super) fn is_expired(&self, now: tokio::time::Instant, retention: time::Duration) -> bool {
        matches!(self.state, State::Ended(at) if now.saturating_duration_since(at) >= retention)
    }

    /// Whether no connection has read the answer for `keep`.
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
