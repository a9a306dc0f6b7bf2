//! Decides which gateways compete for the lease for usage reports.
//!
//! A few gateways, the first in an order that all of them share, compete. A gateway that can't
//! reach the store can't report, so it doesn't keep the others from competing. This handles stores
//! that turn some machines away, and the death of the first gateways at the same moment.

use std::time::Duration;

/// Number of gateways that compete for the lease and receive all usage counts.
pub const CANDIDATES: usize = 3;

/// What a gateway knows about its place in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Gateways before it in the order that are alive.
    pub alive_before: usize,
    /// Those of them that can reach the store.
    pub able_before: usize,
    /// For how long it has reached the store itself; `None` if it doesn't.
    pub reachable: Option<Duration>,
}

/// Whether a gateway competes for the lease; `news` is the time within which it hears whether
/// another gateway reaches the store.
///
/// After an outage of the whole store, the gateways find it back at slightly different times; those
/// further down the order wait until the first ones have told that they have found it too.
#[must_use]
pub fn competes(standing: Standing, news: Duration) -> bool {
    let Some(reachable) = standing.reachable else { return false };
    standing.alive_before < CANDIDATES || (reachable >= news && standing.able_before < CANDIDATES)
}
