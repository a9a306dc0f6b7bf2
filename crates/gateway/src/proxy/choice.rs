//! Gathers what the choice of a backend server needs and makes it.

use smallvec::SmallVec;
use tokio::time;

use super::attempt;
use super::dispatch;
use crate::decision::engine_partition;
use crate::decision::gossip_timing;
use crate::decision::placement;
use crate::directory;
use crate::state;

/// Shared prompt tokens from which on a session's home is worth more than an even load.
const LEAST_HOME: u64 = 1_000;

/// Part of the pause between two beacons whose requests are not heard of when one is placed. Source:
/// half of it on average, and half of that, since the others' shares differ.
const UNHEARD_PART: f64 = 0.25;

/// Backend servers of one service that fit without an allocation.
type Few<T> = SmallVec<[T; 64]>;

/// A backend server for the request, none if every one is gone or was tried.
pub(super) fn choose(job: &dispatch::Job) -> Option<attempt::Target> {
    let now = time::Instant::now();
    let state = &job.state;
    let directory = state.directory.borrow();
    let usable = usable(job, &directory, now);
    let loads = loads(state, &usable);
    let division = divide(job, &usable, &loads, now);
    let ask = &job.admitted.ask;
    let (parts, total) = (&ask.parts, u64::from(ask.prompt_tokens));
    let own_side = |known: &directory::BackendState| {
        division.is_none_or(|border| (known.hash >= border) == job.is_long())
    };
    let session = parts.len().checked_sub(2).map(|at| parts[at].id);
    let homes = session.map(|part| {
        let side = usable.iter().filter(|known| own_side(known));
        placement::preferred_backends(part, side.map(|known| known.hash))
    });
    let homes = homes.unwrap_or_default();
    let shared: u64 = parts.iter().rev().skip(1).map(|part| u64::from(part.tokens)).sum();
    let rank = job.admitted.ranks.on_time;
    let place = |hash: u32| homes.iter().position(|home| *home == hash);
    let candidate = |(known, load): (&&directory::BackendState, &directory::Load)| {
        let likely = place(known.hash)
            .map_or(0.0, |at| shared as f64 * (1.0 - placement::EXPECTED_MISS_SHARE[at]));
        let kept = known.prefix_cache.cached_tokens(parts, now).max(likely as u64);
        let rivals = load.up_to_rank(rank);
        placement::Candidate {
            hash: known.hash,
            in_flight: load.total().in_flight,
            competing: rivals.in_flight,
            slots: known.backend.slots,
            pending_prefill: rivals.pending_prefill,
            uncached: total.saturating_sub(kept),
            recomputed: shared.saturating_sub(kept),
            cost_factor: known.health.cost_factor(now),
            other_partition: !own_side(known),
            same_zone: known.backend.zone == state.settings.zone,
        }
    };
    let candidates: Few<_> = usable.iter().zip(&loads).map(candidate).collect();
    let cheapest = placement::choose_cheapest(&candidates, rand::random())?;
    let has_home = shared >= LEAST_HOME && place(candidates[cheapest].hash).is_some();
    let at = if job.is_long() || has_home {
        cheapest
    } else {
        placement::choose_weighted(&candidates, expected(job, now), rand::random())?
    };
    let known = usable[at];
    Some(attempt::Target {
        id: known.backend.id.clone(),
        born: known.backend.started_ms,
        address: known.backend.address,
        uncached: candidates[at].uncached,
        before: candidates[at].pending_prefill,
        home: place(known.hash).map_or(0, |at| at as u8 + 1),
    })
}

/// Requests like this one that all gateways send before they hear of each other's.
fn expected(job: &dispatch::Job, now: time::Instant) -> f64 {
    let state = &job.state;
    let gateways = state.gateways();
    let mut arrivals = state.arrivals.borrow_mut();
    let arrivals = arrivals.entry(job.admitted.service.clone()).or_default();
    arrivals.observe(now);
    arrivals.expected_count(
        gateways,
        gossip_timing::load_interval(gateways - 1).mul_f64(UNHEARD_PART),
        now,
    )
}

/// Backend servers that were not tried, can be reached and are not paused after a failure.
fn usable<'a>(
    job: &dispatch::Job,
    directory: &'a directory::Directory,
    now: time::Instant,
) -> Few<&'a directory::BackendState> {
    let state = &job.state;
    let service = &job.admitted.service;
    let gateways = u32::try_from(state.gateways()).unwrap_or(u32::MAX);
    let cap = state.configuration().and_then(|configuration| {
        configuration.find_service(service).map(|service| service.max_connections)
    });
    let cap = cap.map_or(u32::MAX, |cap| (cap / gateways).max(1));
    let untried = |known: &&directory::BackendState| !job.tried.contains(&known.backend.id);
    let has_way = |known: &&directory::BackendState| {
        let address = known.backend.address;
        state.pool.open(address) < cap || state.pool.idle(address) > 0
    };
    let mut usable: Few<_> =
        directory.of_service(service).filter(untried).filter(has_way).collect();
    if usable.iter().any(|known| known.health.is_available(now)) {
        usable.retain(|known| known.health.is_available(now));
    }
    usable
}

/// Load of all gateways at each backend server.
///
/// Gateways that aren't heard are taken to load all backend servers alike.
fn loads(state: &state::State, usable: &[&directory::BackendState]) -> Few<directory::Load> {
    let mut peers = state.peers.borrow_mut();
    let now = state.clock.now();
    let others: Few<_> = usable.iter().map(|known| peers.load(known.hash, now)).collect();
    let unheard = placement::extrapolate_load(&others, peers.unreported_ratio(now));
    let load = |(known, others): (&&directory::BackendState, &directory::Load)| {
        let mut load = known.own_load;
        load += *others;
        load += unheard;
        load
    };
    usable.iter().zip(&others).map(load).collect()
}

/// The hash from which on engines serve long prompts, none if all serve both kinds.
fn divide(
    job: &dispatch::Job,
    usable: &[&directory::BackendState],
    loads: &[directory::Load],
    now: time::Instant,
) -> Option<u32> {
    let long: u32 = loads.iter().map(|load| load.long_prompts).sum();
    let running: u32 = loads.iter().map(|load| load.total().in_flight).sum();
    let work = engine_partition::Demand {
        long: f64::from(long),
        short: f64::from(running.saturating_sub(long)),
    };
    let slots = usable.iter().map(|known| known.backend.slots).max().unwrap_or(1);
    let mut divisions = job.state.divisions.borrow_mut();
    let division = divisions.entry(job.admitted.service.clone()).or_default();
    division.observe_tier(job.is_long(), job.admitted.route.tier);
    let short = division.update(work, usable.len(), slots, now)?;
    let mut hashes: Few<_> = usable.iter().map(|known| known.hash).collect();
    hashes.sort_unstable();
    hashes.get(short).copied()
}
