//! Whether a request is allowed: its route, its key, and how much the gateway may trust them.

use std::rc;

use azuregap_core::ids;
use http::request;

use crate::codec;
use crate::configuration;
use crate::decision::priority;
use crate::state;

/// A request that may run.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) ask: codec::Ask,
    pub(super) route: rc::Rc<configuration::Route>,
    pub(super) service: ids::PoolId,
    pub(super) team: Option<ids::TeamId>,
    pub(super) ranks: priority::Ranks,
    pub(super) version: ids::Version,
}

/// Why a request may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// The headers are malformed.
    Malformed(&'static str),
    /// No route leads anywhere.
    NoRoute,
    /// The key is missing or belongs to no team.
    NoKey,
    /// The configuration is not known, or too old to decide.
    Stale,
    /// The process is about to end.
    Stopping,
}

impl Denial {
    /// Status of the answer.
    pub(super) const fn status(self) -> u16 {
        match self {
            Self::Malformed(_) => 400,
            Self::NoRoute => 404,
            Self::NoKey => 401,
            Self::Stale | Self::Stopping => 503,
        }
    }

    /// Number and text of the answer.
    pub(super) const fn text(self) -> &'static str {
        match self {
            Self::Malformed(_) => "6401: a header is missing or malformed",
            Self::NoRoute => "6402: no route has this host and path",
            Self::NoKey => "6403: the key is missing or not valid",
            Self::Stopping => "6410: this gateway is stopping; another one serves the request",
            Self::Stale => "6404: the configuration is not known well enough; come back later",
        }
    }
}

/// Decides whether a request may run.
pub(super) fn admit(state: &state::State, head: &request::Parts) -> Result<Admitted, Denial> {
    let ask = (state.codec.ask)(&head.headers).map_err(|error| match error {
        codec::CodecError::Header(name) => Denial::Malformed(name),
        codec::CodecError::Document(_) => Denial::Malformed("document"),
    })?;
    let configuration = state.configuration().ok_or(Denial::Stale)?;
    let now = state.clock.now();
    let freshness = *state.freshness.borrow();
    let deny = |denial| if freshness.may_deny(now) { denial } else { Denial::Stale };
    let host = head.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let route =
        configuration.find_route(host, head.uri.path()).ok_or_else(|| deny(Denial::NoRoute))?;
    if !state.phase.get().serves(route.kind.is_stream()) {
        return Err(Denial::Stopping);
    }
    let team = if configuration.requires_key(&route) {
        if !freshness.may_trust_keys(now) {
            return Err(Denial::Stale);
        }
        let key = ask.key.as_deref().unwrap_or_default();
        Some(configuration.team_for_key(key).ok_or_else(|| deny(Denial::NoKey))?)
    } else {
        ask.key.as_deref().and_then(|key| configuration.team_for_key(key))
    };
    let draw = xxhash_rust::xxh3::xxh3_64(ask.id.as_bytes());
    let service = route.pick_service(draw).ok_or(Denial::Stale)?.clone();
    let ranks = configuration.ranks(team.as_deref(), &route, &service);
    Ok(Admitted {
        service,
        team: team.map(|team| team.name.clone()),
        ranks,
        version: configuration.version,
        ask,
        route,
    })
}
