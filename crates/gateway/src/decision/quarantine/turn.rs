//! Which gateway may send a trial, so that the fleet sends one at a time.
//!
//! Time is divided into turns. In each one the first of all known gateways, by rendezvous hashing,
//! may send one trial of a suspect in the beginning of the turn. If that crashes a backend server,
//! all gateways have heard of it before the next turn begins.

use std::time::Duration;

use xxhash_rust::xxh3;

use super::crash;
use super::suspect;
use crate::decision::rendezvous;

/// Length of a turn: the time within which news reaches all gateways, and a margin for their clocks.
pub const TURN: Duration = Duration::from_secs(4);

/// Part of a turn in which its trial may be sent.
const OPENING: Duration = Duration::from_secs(1);

/// Number of the turn at a time of day.
pub(super) const fn number(now: crash::TimeOfDay) -> u128 {
    now.as_millis() / TURN.as_millis()
}

/// Time until the next turn begins.
#[must_use]
pub fn time_left(now: crash::TimeOfDay) -> Duration {
    let millis = TURN.as_millis() - now.as_millis() % TURN.as_millis();
    Duration::from_millis(millis as u64)
}

/// Whether a gateway that knows `others` may send a trial of a suspect now.
pub fn is_turn<'a>(
    suspect: &suspect::SuspectId,
    node: &str,
    mut others: impl Iterator<Item = &'a str>,
    now: crash::TimeOfDay,
) -> bool {
    let Some(other) = others.next() else { return true };
    let id = match suspect {
        suspect::SuspectId::Segment(id) => u128::from(*id),
        suspect::SuspectId::Request(digest) => digest.0,
    };
    let key = xxh3::xxh3_64_with_seed(&id.to_be_bytes(), number(now) as u64);
    let others = std::iter::once(other).chain(others);
    time_left(now) > TURN - OPENING && rendezvous::is_among_first(key, node, others, 1)
}
