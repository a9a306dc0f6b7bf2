//! Which backend servers may get a request, as far as the limits that they name are concerned.

use std::time::Duration;

use tokio::time;

use super::dispatch;
use super::eligibility;
use crate::cold_servers;
use crate::decision::backend_limit;
use crate::decision::membership;
use crate::decision::waiting_line;
use crate::directory;
use crate::state;

/// Whether a backend server may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Access {
    /// Whether it names a limit.
    pub(super) is_limited: bool,
    /// Whether it is cold.
    pub(super) is_cold: bool,
    /// Whether it has a place for the request.
    pub(super) is_open: bool,
}

/// Whether a backend server may get a request, which may wait for a place.
pub(super) fn of(
    request: &dispatch::ProxyRequest,
    protection: Option<&cold_servers::Protection>,
    ticket: Option<&waiting_line::Ticket>,
    server: &directory::BackendState,
    now: time::Instant,
) -> Access {
    let state = &request.state;
    let limit_place = limit_place(state, server);
    let cold_place = cold_place(state, protection, server);
    let place = limit_place.and(cold_place);
    let is_limited = limit_place != backend_limit::Place::Unlimited;
    let is_cold = cold_place != backend_limit::Place::Unlimited;
    if !is_limited && !is_cold {
        return Access { is_limited, is_cold, is_open: true };
    }
    let lines = state.waiting_lines.borrow();
    let is_next = |line: &waiting_line::WaitingLine| {
        line.is_next(request.admitted.ranks.on_time, ticket, server.hash, now)
    };
    let is_open = place.is_free() && lines.get(&request.admitted.service).is_none_or(is_next);
    Access { is_limited, is_cold, is_open }
}

fn limit_place(state: &state::State, server: &directory::BackendState) -> backend_limit::Place {
    let mut limits = state.backend_limits.borrow_mut();
    let share = || state.limit_share(server.hash);
    limits.place(server.hash, server.backend.started_ms, share, state.clock.now())
}

fn cold_place(
    state: &state::State,
    protection: Option<&cold_servers::Protection>,
    server: &directory::BackendState,
) -> backend_limit::Place {
    protection
        .map_or(backend_limit::Place::Unlimited, |protection| protection.place(state, server.hash))
}

/// Why no backend server has a place for a request.
pub(super) fn refusal(request: &dispatch::ProxyRequest) -> &'static str {
    let state = &request.state;
    let directory = state.directory.borrow();
    let protection = cold_servers::protection(state, &request.admitted.service);
    let is_cold = |server: &directory::BackendState| {
        protection.is_some_and(|protection| protection.cold_left(state, server.hash).is_some())
    };
    let (membership, now) = (state.membership.borrow(), state.clock.now());
    if membership.standing(backend_limit::WINDOW, now) != membership::Standing::Counted {
        "this gateway has no share of the limits: others may not have counted it yet"
    } else if eligibility::of_service(request, &directory).any(is_cold) {
        "cold: the places at cold backend servers are used up"
    } else {
        "the limits that the backend servers name are used up"
    }
}

/// When the next request may be sent to a backend server with a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum NextPlace {
    /// No backend server is left, or one that names no limit.
    None,
    /// This gateway may send one after `wait`, and then `pace` requests a second.
    Here { wait: Duration, pace: f64 },
    /// Only other gateways may send any; each place comes up after this time, or never.
    Elsewhere(Option<Duration>),
}

/// When a request that was not sent to them yet may be sent to a backend server with a limit.
pub(super) fn next_place(request: &dispatch::ProxyRequest) -> NextPlace {
    let state = &request.state;
    let protection = cold_servers::protection(state, &request.admitted.service);
    if state.backend_limits.borrow().is_empty() && protection.is_none() {
        return NextPlace::None;
    }
    let directory = state.directory.borrow();
    let now = time::Instant::now();
    let (mut next, mut elsewhere) = (NextPlace::None, None);
    for server in eligibility::of_service(request, &directory) {
        if request.tried.contains(&server.backend.id) {
            continue;
        }
        match limit_place(state, server).and(cold_place(state, protection.as_ref(), server)) {
            backend_limit::Place::Unlimited => return NextPlace::None,
            backend_limit::Place::Limited { wait, pace } => {
                // A place that is free is of no use while the server wants no requests.
                let wait = wait.max(directory.quiet_time_left(&server.backend, now));
                next = match next {
                    NextPlace::Here { wait: first, pace: sum } => {
                        NextPlace::Here { wait: first.min(wait), pace: sum + pace }
                    }
                    _ => NextPlace::Here { wait, pace },
                };
            }
            backend_limit::Place::Elsewhere => {
                let limits = state.backend_limits.borrow();
                let limit = limits.limit(server.hash, server.backend.started_ms);
                let cold = protection.as_ref().map(cold_servers::Protection::pace);
                let limit = limit.or(cold).unwrap_or(0.0);
                elsewhere = Some(elsewhere.unwrap_or(0.0) + limit);
            }
        }
    }
    match (next, elsewhere) {
        (NextPlace::None, Some(limit)) => {
            NextPlace::Elsewhere(Duration::try_from_secs_f64(1.0 / limit).ok())
        }
        (next, _) => next,
    }
}
