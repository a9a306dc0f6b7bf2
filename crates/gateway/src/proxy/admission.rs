//! Decides whether a request is allowed: route, API key, and whether the configuration is recent
//! enough to rely on.

use std::sync;
use std::time::Duration;

use azuregap_core::ids;
use http::request;

use crate::codec;
use crate::configuration;
use crate::decision::homes;
use crate::decision::priority;
use crate::state;

/// A request that is allowed to run.
#[derive(Debug)]
pub(super) struct Admitted {
    pub(super) headers: codec::RequestHeaders,
    pub(super) route: sync::Arc<configuration::Route>,
    pub(super) service: ids::PoolId,
    pub(super) team: Option<ids::TeamId>,
    pub(super) homes: homes::Homes,
    pub(super) ranks: priority::Ranks,
    pub(super) version: ids::Version,
}

/// Why a request is not allowed to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// The headers are malformed.
    Malformed(&'static str),
    /// No route matches the host and path.
    NoRoute,
    /// The API key is missing or belongs to no team.
    InvalidKey,
    /// The configuration is not known, or too old to decide.
    StaleConfiguration,
    /// The process is shutting down.
    Stopping,
    /// The client has closed its connection, or its sending side.
    Left,
}

impl Denial {
    /// Status of the response.
    pub(super) const fn status(self) -> u16 {
        match self {
            Self::Malformed(_) => 400,
            Self::NoRoute => 404,
            Self::InvalidKey => 401,
            Self::StaleConfiguration | Self::Stopping | Self::Left => 503,
        }
    }

    /// Body of the response: error number and text.
    pub(super) const fn text(self) -> &'static str {
        match self {
            Self::Malformed(_) => "6401: a header is missing or malformed",
            Self::NoRoute => "6402: no route has this host and path",
            Self::InvalidKey => "6403: the key is missing or not valid",
            Self::Stopping => "6410: this gateway is stopping; another one serves the request",
            Self::Left => "6414: the client has closed the connection",
            Self::StaleConfiguration => {
                "6404: the configuration is not known well enough; come back later"
            }
        }
    }
}

/// Decides whether a request may run, by the configuration as it is known now.
pub(super) fn admit(state: &state::State, head: &request::Parts) -> Result<Admitted, Denial> {
    let headers = (state.codec.decode_request)(&head.headers).map_err(|error| match error {
        codec::CodecError::Header(name) => Denial::Malformed(name),
        codec::CodecError::Document(_) => Denial::Malformed("document"),
    })?;
    let configuration = state.configuration().ok_or(Denial::StaleConfiguration)?;
    let now = state.clock.now();
    let freshness = *state.freshness.borrow();
    let is_outdated = state.has_outdated_configuration();
    let may_deny = freshness.may_deny(now) && !is_outdated;
    let deny = |denial| if may_deny { denial } else { Denial::StaleConfiguration };
    let host = head.headers.get(http::header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| head.uri.host()).unwrap_or_default();
    let route =
        configuration.find_route(host, head.uri.path()).ok_or_else(|| deny(Denial::NoRoute))?;
    let team = headers.api_key.as_deref().and_then(|key| configuration.team_for_key(key));
    if configuration.requires_key(&route) {
        if !freshness.may_trust_keys(now) || is_outdated {
            return Err(Denial::StaleConfiguration);
        }
        if team.is_none() {
            return Err(deny(Denial::InvalidKey));
        }
    }
    let draw = xxhash_rust::xxh3::xxh3_64(headers.id.as_bytes());
    let service = route.pick_service(draw).ok_or(Denial::StaleConfiguration)?.clone();
    if !ends_before_exit(state, &route, &service, headers.timeout) {
        return Err(Denial::Stopping);
    }
    let ranks = configuration.ranks(team.as_deref(), &route, &service);
    let homes = homes::Homes {
        route: route.homes.clone(),
        team: team.as_ref().map(|team| team.homes.clone()).unwrap_or_default(),
    };
    Ok(Admitted {
        homes,
        service,
        team: team.map(|team| team.name.clone()),
        ranks,
        version: configuration.version,
        headers,
        route,
    })
}

/// Whether a request is likely to end before the process does, if that is shutting down.
fn ends_before_exit(
    state: &state::State,
    route: &configuration::Route,
    service: &str,
    timeout: Option<Duration>,
) -> bool {
    let Some(shutdown) = state.shutdown.get() else { return true };
    let longest = timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let (is_stream, likely) = (route.kind.is_stream(), state.likely_duration(service));
    let is_exiting = *state.exiting.borrow();
    !is_exiting && shutdown.admits(is_stream, likely, longest, state.clock.now())
}
