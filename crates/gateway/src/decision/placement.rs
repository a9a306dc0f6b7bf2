//! Chooses the backend server for a request.
//!
//! For model engines, the cost of a backend server is the work that precedes the request's first
//! token there: prompt tokens of other requests that are not read yet, its own prompt tokens that
//! are not cached, the slowdown of each step by the requests that run, and how long its prompt holds
//! those up, above all if it is beyond the room there; see [`super::engine_room`]. Shared tokens that
//! are cached elsewhere are fetched; see [`super::cache_source`]. Less urgent requests yield, so a
//! request whose preferred engines are full goes to engines that run those. Each session has preferred
//! backend servers by rendezvous hashing, so gateways agree on them without a
//! message; one with too much work ahead is skipped. This handles bursts of long prompts, in which
//! the engines are bound by prefill.

use std::cmp;

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::codec;
use crate::directory;

// Costs are fixed as they only order the servers of one service, by what a request adds on a typical
// one; how servers differ is learned and comes in as their slowness and slots.

/// Cost of each request in flight, in prompt tokens: the time that one more running request adds to
/// the steps of a prefill on the sample engines.
const IN_FLIGHT_TOKENS: f64 = 60.0;

/// Additional cost of reading a shared token at another backend server, in prompt tokens: the time
/// is lost for all requests there, and the token uses memory twice.
const RECOMPUTE_FACTOR: f64 = 12.0;

/// Additional cost of fetching a shared token from another backend server, in prompt tokens: it
/// uses memory twice and takes bandwidth.
const FETCH_FACTOR: f64 = 2.0;

/// Share of a request's own prompt tokens that is added to the cost for each request in flight: its
/// stream waits while they are read.
const DISTURBANCE_FACTOR: f64 = 0.1;

/// Cost of each request beyond the slots of the backend server, in prompt tokens.
const OVERFLOW_TOKENS: f64 = 3_000.0;

/// Cost of disturbing requests of the other kind, in prompt tokens.
const OTHER_PARTITION_TOKENS: f64 = 8_000.0;

/// Additional cost of a prompt token beyond the room of an engine, for each stream that it makes
/// late, in prompt tokens.
const CROWDING_FACTOR: f64 = 0.2;

/// Cost of using another availability zone, in prompt tokens.
const CROSS_ZONE_TOKENS: f64 = 100.0;

/// Bisection steps in the search for the cost level.
const BISECTION_STEPS: u32 = 16;

/// Number of preferred backend servers of a session.
pub const PREFERRED_COUNT: usize = 3;

/// Expected share of a session's prompt that must be read again at its first, second and third
/// preferred backend server.
pub const EXPECTED_MISS_SHARE: [f64; PREFERRED_COUNT] = [0.0, 0.15, 0.3];

/// A backend server that can be chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of its id, the same at every gateway.
    pub hash: u32,
    /// Requests of all gateways that run or wait there.
    pub in_flight: u32,
    /// Those of them that are at least as urgent as this request.
    pub competing: u32,
    /// Requests that it can run concurrently, or fewer if its callers get worse before.
    pub slots: u32,
    /// Prompt tokens of competing requests that have not produced their first event.
    pub pending_prefill: u64,
    /// Prompt tokens of all requests there that have not produced their first event.
    pub reading: u64,
    /// Prompt tokens that may be read there without making streams late, if it is of the other kind
    /// and streams name a pause; see [`super::engine_room`].
    pub room: Option<u64>,
    /// Prompt tokens of this request that it has to read.
    pub uncached: u64,
    /// Those of them that other requests share and that another backend server may have cached.
    pub recomputed: u64,
    /// Prompt tokens of this request that it fetches from another backend server.
    pub fetched: u64,
    /// Factor for its cost due to failures, at least 1.
    pub cost_factor: f64,
    /// Time that it takes for the same work, as a factor of what a typical server takes; see
    /// [`super::learned_capacity`].
    pub slowness: f64,
    /// What a typical server takes for this request itself, in prompt tokens; see [`own_work`].
    pub own_work: f64,
    /// Whether it serves the other kind of requests; see [`super::engine_partition`].
    pub other_partition: bool,
    /// Whether it is in the gateway's own availability zone.
    pub same_zone: bool,
}

impl Candidate {
    /// Expected work before the first token, in prompt tokens.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let overflow = f64::from((self.competing + 1).saturating_sub(self.slots));
        let work = (self.pending_prefill + self.uncached) as f64
            + self.recomputed as f64 * RECOMPUTE_FACTOR
            + self.fetched as f64 * FETCH_FACTOR
            + f64::from(self.in_flight)
                * (IN_FLIGHT_TOKENS + self.uncached as f64 * DISTURBANCE_FACTOR)
            + overflow * OVERFLOW_TOKENS
            + self.excess() as f64 * self.crowding();
        // The request itself takes longer too, also where it is the only one.
        let slowdown = (work + self.own_work) * (self.slowness - 1.0);
        let zone = if self.same_zone { 0.0 } else { CROSS_ZONE_TOKENS };
        let partition = if self.other_partition { OTHER_PARTITION_TOKENS } else { 0.0 };
        (work + slowdown + zone + partition) * self.cost_factor
    }

    /// Prompt tokens beyond the room of the engine, if it gets this request.
    #[must_use]
    pub fn excess(&self) -> u64 {
        self.room.map_or(0, |room| (self.reading + self.uncached).saturating_sub(room))
    }

    /// Cost of a prompt token beyond the room of the engine.
    fn crowding(&self) -> f64 {
        f64::from(self.in_flight + 1) * CROWDING_FACTOR
    }

    /// Slots that are free for requests as urgent as this one.
    const fn free_slots(&self) -> u32 {
        self.slots.saturating_sub(self.competing)
    }

    /// Requests like this one for which there are slots and room.
    fn free_places(&self) -> u32 {
        let room = self.room.map(|room| room.saturating_sub(self.reading) / self.uncached.max(1));
        let room = room.map_or(u32::MAX, |count| u32::try_from(count).unwrap_or(u32::MAX));
        self.free_slots().min(room)
    }

    /// Number of requests like this one that raise the cost to `level`.
    fn requests_until(&self, level: f64) -> f64 {
        let margin = level - self.cost();
        if margin <= 0.0 {
            return 0.0;
        }
        let factor = self.cost_factor * self.slowness;
        let each = (self.uncached as f64 + IN_FLIGHT_TOKENS) * factor;
        let places = self.free_places();
        let free = f64::from(places.saturating_sub(1));
        if margin <= free * each {
            return margin / each;
        }
        let overflow = if places < self.free_slots() {
            self.uncached as f64 * self.crowding()
        } else {
            OVERFLOW_TOKENS
        };
        free + (margin - free * each) / (each + overflow * factor)
    }
}

/// What a server takes for a request itself, beside what its prompt takes, in prompt tokens.
///
/// A request that is no stream keeps a slot for as long as one that waits for a slot waits behind as
/// many others as there are slots. The cost of its servers is thus the time that they are expected to
/// take. A stream only adds to the steps that it shares with others, while its events come in time.
#[must_use]
pub fn own_work(is_stream: bool, slots: u32) -> f64 {
    if is_stream { IN_FLIGHT_TOKENS } else { OVERFLOW_TOKENS * f64::from(slots) }
}

/// Estimated load at each backend server of gateways whose load is not known here, if there are
/// `ratio` of them for each one whose load is; `known` are the known loads of the backend servers.
#[must_use]
pub fn extrapolate_load(known: &[directory::Load], ratio: f64) -> directory::Load {
    if ratio <= 0.0 || known.is_empty() {
        return directory::Load::default();
    }
    let mut sum = directory::Load::default();
    known.iter().for_each(|load| sum += *load);
    sum.scaled(ratio / known.len() as f64)
}

/// Index of the cheapest candidate; `draw` is a random number that breaks ties.
#[must_use]
pub fn choose_cheapest(candidates: &[Candidate], draw: u32) -> Option<usize> {
    let order = |(_, candidate): &(usize, &Candidate)| {
        (candidate.cost(), candidate.hash.wrapping_mul(draw | 1))
    };
    candidates
        .iter()
        .enumerate()
        .min_by(|left, right| {
            let (left, right) = (order(left), order(right));
            left.0.total_cmp(&right.0).then(left.1.cmp(&right.1))
        })
        .map(|(index, _)| index)
}

/// Index of a candidate for one of `expected` requests that all gateways send before they learn of
/// each other's; `draw` is a random number in 0..1.
///
/// All gateways see the same cheapest candidate. If the requests fit there, it is chosen. Otherwise
/// each candidate is chosen with a probability in proportion to the requests that it would get if
/// they were assigned one after the other to the cheapest. This handles bursts in which a backend
/// server that has just become free would otherwise get more requests than it can run.
#[must_use]
pub fn choose_weighted(candidates: &[Candidate], expected: f64, draw: f64) -> Option<usize> {
    let cheapest = choose_cheapest(candidates, 1)?;
    if expected <= f64::from(candidates[cheapest].free_places()) {
        return Some(cheapest);
    }
    let costs = || candidates.iter().map(Candidate::cost);
    let (mut low, mut high) = (costs().min_by(f64::total_cmp)?, costs().max_by(f64::total_cmp)?);
    let assigned = |level: f64| {
        candidates.iter().map(|candidate| candidate.requests_until(level)).sum::<f64>()
    };
    while assigned(high) < expected {
        high = high * 2.0 + OVERFLOW_TOKENS;
    }
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if assigned(middle) < expected {
            low = middle;
        } else {
            high = middle;
        }
    }
    let mut point = draw * assigned(high);
    for (index, candidate) in candidates.iter().enumerate() {
        point -= candidate.requests_until(high);
        if point < 0.0 {
            return Some(index);
        }
    }
    Some(cheapest)
}

/// Hashes of the preferred backend servers for a segment of a prompt, the most preferred one first.
///
/// One with too much work is skipped for the next one. All gateways agree on the order, so each of
/// them finds what another one has sent there.
#[must_use]
pub fn preferred_backends(
    segment: codec::SegmentId,
    hashes: impl Iterator<Item = u32>,
) -> SmallVec<[u32; PREFERRED_COUNT]> {
    let weight = |hash: &u32| {
        let mut key = [0; 12];
        key[..8].copy_from_slice(&segment.to_le_bytes());
        key[8..].copy_from_slice(&hash.to_le_bytes());
        xxh3::xxh3_64(&key)
    };
    let mut hashes: SmallVec<[u32; 64]> = hashes.collect();
    hashes.sort_unstable_by_key(|hash| cmp::Reverse(weight(hash)));
    hashes.into_iter().take(PREFERRED_COUNT).collect()
}
