//! Bounds the connections of clients, so that descriptors and memory are left for everything else.
//!
//! It answers crowds that open connections and leave them idle, or send or read slowly. Near the
//! limit the connection is closed for a new one whose client is furthest behind with what it sends or
//! reads; a client without a request is behind for as long as it is idle.

use std::time::Duration;

use super::progress;
use crate::settings;

/// Descriptors that a process needs for itself: listeners, logs, the store and other gateways.
const OWN_DESCRIPTORS: usize = 24;

/// Connections to the readiness endpoint, and to that of the metrics.
pub const ENDPOINT_CONNECTIONS: usize = 16;

/// Connections that are always allowed.
const MIN_CONNECTIONS: usize = 8;

/// Parts of the connections of which one is kept free: as soon as it is in use, each new connection has
/// another one closed.
const SPARE_PARTS: usize = 16;

/// What a client's connection does, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// The process works for the client.
    Busy,
    /// The process waits until the client sends or reads more, which is so far behind.
    Waiting(Duration),
    /// The client has no request, for so long.
    Idle(Duration),
}

impl Activity {
    /// How far the client is behind if its connection may be closed for another one.
    #[must_use]
    pub fn lag(self) -> Option<Duration> {
        match self {
            Self::Busy => None,
            Self::Waiting(lag) => Some(lag).filter(|lag| *lag >= progress::MIN_LAG),
            Self::Idle(lag) => Some(lag),
        }
    }
}

/// Whether there is room for a new connection beside those that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// There is.
    Plenty,
    /// There is, and another connection is closed, so that there goes on to be.
    Scarce,
    /// There is none until another connection is closed.
    None,
}

/// Whether there is room for a new connection beside `open` ones, of `most` that there may be.
#[must_use]
pub const fn room(open: usize, most: usize) -> Room {
    if open >= most {
        Room::None
    } else if open >= most - most / SPARE_PARTS {
        Room::Scarce
    } else {
        Room::Plenty
    }
}

/// Largest number of connections of clients. Each of them may need another one to a backend server.
#[must_use]
pub fn max_connections(resources: &settings::Resources) -> usize {
    let Some(descriptors) = resources.descriptors else { return usize::MAX };
    let descriptors = usize::try_from(descriptors).unwrap_or(usize::MAX);
    let most = descriptors.saturating_sub(OWN_DESCRIPTORS + 2 * ENDPOINT_CONNECTIONS) / 2;
    most.max(MIN_CONNECTIONS)
}

/// The connection that is closed for a new one, if any may be.
pub fn pick_victim<T>(connections: impl Iterator<Item = (T, Activity)>) -> Option<T> {
    let candidates = connections.filter_map(|(it, activity)| Some((it, activity.lag()?)));
    candidates.max_by_key(|(_, lag)| *lag).map(|(connection, _)| connection)
}
