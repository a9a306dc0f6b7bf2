//! On which backend server a request runs.
//!
//! For model engines the cost of a backend server is the work that stands before the request's
//! first token there: prompt tokens of others that are not read yet, its own that are not cached,
//! and the slowing of each step by the requests that run. Less urgent requests give way, so a
//! request that finds its own engines full goes where those stand. Sessions have a home by rendezvous
//! hashing, so that gateways agree on it without a message; a home with too much work before it is
//! passed over. This answers bursts of long prompts, where the engines are bound by prefill.

use std::cmp;

use smallvec::SmallVec;
use xxhash_rust::xxh3;

use crate::codec;
use crate::directory;

/// What a running request adds to the time to the first token, in prompt tokens. Source: the time
/// that one more running request adds to the steps of a prefill, on the sample engines.
const RUNNING_TOKENS: f64 = 60.0;

/// What it costs, beyond the reading, to read a shared part at one more backend server: the time is
/// lost for all requests there, and the part takes memory twice.
const AGAIN_FACTOR: f64 = 12.0;

/// Added when a backend server has no free slot, in prompt tokens for each request over.
const FULL_TOKENS: f64 = 3_000.0;

/// What it costs to disturb the other kind of requests, in prompt tokens.
const FOREIGN_TOKENS: f64 = 8_000.0;

/// What crossing to another availability zone costs, in prompt tokens.
const ZONE_TOKENS: f64 = 100.0;

/// Steps in which the level of costs is found; each halves the range.
const LEVEL_STEPS: u32 = 16;

/// Homes of a session.
pub const HOMES: usize = 3;

/// Part of a session's prompt that is expected to be read again at its first, second and third
/// home.
pub const UNSURE: [f64; HOMES] = [0.0, 0.15, 0.3];

/// A backend server as the choice sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of its id, the same at every gateway.
    pub hash: u32,
    /// Requests of all gateways that run or wait there.
    pub running: u32,
    /// Those of them that are as urgent as this one or more.
    pub rivals: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens of the rivals that have not produced their first event.
    pub prefill: u64,
    /// Prompt tokens of this request that it has to read.
    pub uncached: u64,
    /// Those of them that other requests share, and that another backend server may keep.
    pub again: u64,
    /// How many times slower than its peers it is, at least 1.
    pub slowness: f64,
    /// Whether it serves the other kind of requests; see [`super::division`].
    pub foreign: bool,
    /// Whether it is in the gateway's own availability zone.
    pub near: bool,
}

impl Candidate {
    /// Expected work before the first token, in prompt tokens.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let over = f64::from((self.rivals + 1).saturating_sub(self.slots));
        let work = (self.prefill + self.uncached) as f64
            + self.again as f64 * AGAIN_FACTOR
            + f64::from(self.running) * RUNNING_TOKENS
            + over * FULL_TOKENS;
        let way = if self.near { 0.0 } else { ZONE_TOKENS };
        let side = if self.foreign { FOREIGN_TOKENS } else { 0.0 };
        (work + way + side) * self.slowness
    }

    /// Slots that requests like this one can have.
    const fn free(&self) -> u32 {
        self.slots.saturating_sub(self.rivals)
    }

    /// How many requests like this one bring the cost to a level.
    fn until(&self, level: f64) -> f64 {
        let room = level - self.cost();
        if room <= 0.0 {
            return 0.0;
        }
        let each = (self.uncached as f64 + RUNNING_TOKENS) * self.slowness;
        let free = f64::from(self.free().saturating_sub(1));
        if room <= free * each {
            return room / each;
        }
        free + (room - free * each) / (each + FULL_TOKENS * self.slowness)
    }
}

/// What gateways that aren't heard add to the load of each backend server, if there are `ratio` of
/// them for each one that is heard.
#[must_use]
pub fn unheard(heard: &[directory::Load], ratio: f64) -> directory::Load {
    if ratio <= 0.0 || heard.is_empty() {
        return directory::Load::default();
    }
    let mut sum = directory::Load::default();
    heard.iter().for_each(|load| sum += *load);
    sum.scaled(ratio / heard.len() as f64)
}

/// The position of the cheapest candidate; `draw` decides between equals.
#[must_use]
pub fn choose(candidates: &[Candidate], draw: u32) -> Option<usize> {
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
        .map(|(position, _)| position)
}

/// The position of a candidate for one of `expected` requests that gateways send before they hear
/// of each other's; `draw` is between 0 and 1.
///
/// All of them see the same cheapest candidate. If they fit there, it is chosen; else each candidate
/// is chosen in proportion to what it would get if the requests were dealt one after the other to
/// the cheapest. This answers bursts in which a backend server that has just become free would be
/// sent more than it can run.
#[must_use]
pub fn spread(candidates: &[Candidate], expected: f64, draw: f64) -> Option<usize> {
    let cheapest = choose(candidates, 1)?;
    if expected <= f64::from(candidates[cheapest].free()) {
        return Some(cheapest);
    }
    let costs = || candidates.iter().map(Candidate::cost);
    let (mut low, mut high) = (costs().min_by(f64::total_cmp)?, costs().max_by(f64::total_cmp)?);
    let dealt = |level: f64| candidates.iter().map(|candidate| candidate.until(level)).sum::<f64>();
    while dealt(high) < expected {
        high = high * 2.0 + FULL_TOKENS;
    }
    for _ in 0..LEVEL_STEPS {
        let middle = f64::midpoint(low, high);
        if dealt(middle) < expected {
            low = middle;
        } else {
            high = middle;
        }
    }
    let mut point = draw * dealt(high);
    for (position, candidate) in candidates.iter().enumerate() {
        point -= candidate.until(high);
        if point < 0.0 {
            return Some(position);
        }
    }
    Some(cheapest)
}

/// The candidates at which a part of a prompt is at home, the first one first.
///
/// A home with too much work is passed over for the next one. All gateways agree on the order, so
/// what one of them sent there is found by the others.
#[must_use]
pub fn homes(part: codec::SegmentId, hashes: impl Iterator<Item = u32>) -> SmallVec<[u32; HOMES]> {
    let weight = |hash: &u32| {
        let mut key = [0; 12];
        key[..8].copy_from_slice(&part.to_le_bytes());
        key[8..].copy_from_slice(&hash.to_le_bytes());
        xxh3::xxh3_64(&key)
    };
    let mut hashes: SmallVec<[u32; 64]> = hashes.collect();
    hashes.sort_unstable_by_key(|hash| cmp::Reverse(weight(hash)));
    hashes.into_iter().take(HOMES).collect()
}
