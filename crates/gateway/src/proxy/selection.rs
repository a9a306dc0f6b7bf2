//! Collects the input for the placement decision and selects a backend server.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time;

use super::access;
use super::attempt;
use super::dispatch;
use super::eligibility;
use crate::codec;
use crate::cold_servers;
use crate::decision::cache_source;
use crate::decision::engine_partition;
use crate::decision::engine_room;
use crate::decision::gossip_timing;
use crate::decision::placement;
use crate::decision::waiting_line;
use crate::directory;
use crate::state;

/// Number of shared prompt tokens from which on a preferred backend server of the session matters
/// more than an even load.
const MIN_PREFERENCE_TOKENS: u64 = 1_000;

/// Fraction of the gossip interval in which the requests of other gateways are not yet known when a
/// request is placed: half the interval on average, and half of that because the shares of the
/// other gateways differ.
const UNREPORTED_FRACTION: f64 = 0.25;

/// One item per backend server of a service; up to 64 are held without an allocation.
type PerBackend<T> = SmallVec<[T; 64]>;

/// Selects a backend server for a request, which may wait for a place at one with a limit; returns
/// `None` if none is left that was not tried.
pub(super) fn select(
    request: &dispatch::ProxyRequest,
    ticket: Option<&waiting_line::Ticket>,
) -> Option<attempt::Target> {
    let now = time::Instant::now();
    let state = &request.state;
    let directory = state.directory.borrow();
    let (usable, access) = usable_backends(request, ticket, &directory, now);
    let loads = total_loads(state, &usable);
    let boundary = partition_boundary(request, &usable, &access, &loads, now);
    let headers = &request.admitted.headers;
    let (segments, prompt_tokens) = (&headers.segments, u64::from(headers.prompt_tokens));
    // What a server with a limit takes are requests, so it gets long ones. The partition of the others
    // doesn't follow its places, which come and go.
    let in_partition = |server: &directory::BackendState, access: access::Access| {
        boundary.is_none_or(|boundary| {
            (access.is_limited || server.hash >= boundary) == request.is_long()
        })
    };
    let shared_segments = codec::shared_segments(segments);
    let preferred = shared_segments.last().map(|segment| {
        let partition = usable.iter().zip(&access);
        let partition = partition.filter(|(server, access)| in_partition(server, **access));
        placement::preferred_backends(segment.id, partition.map(|(server, _)| server.hash))
    });
    let preferred = preferred.unwrap_or_default();
    let shared_tokens: u64 = shared_segments.iter().map(|segment| u64::from(segment.tokens)).sum();
    let rank = request.admitted.ranks.on_time;
    let prefixes = cached_prefixes(state, &usable, &access, shared_segments, now);
    let source = cache_source::find(&prefixes);
    let fetched_tokens = |own| source.map_or(0, |source| source.fetched_tokens(own));
    let rooms = EngineRoomView::of(request);
    let is_stream = request.admitted.route.kind.is_stream();
    let preference_of = |hash: u32| preferred.iter().position(|preferred| *preferred == hash);
    let candidate = |(index, load): (usize, &directory::Load)| {
        let (server, access) = (usable[index], access[index]);
        let expected_tokens = preference_of(server.hash)
            .map_or(0.0, |at| shared_tokens as f64 * (1.0 - placement::EXPECTED_MISS_SHARE[at]));
        let cached_tokens =
            server.prefix_cache.cached_tokens(segments, now).max(expected_tokens as u64);
        let fetched = fetched_tokens(cached_tokens);
        let available_tokens = cached_tokens + fetched;
        let competing = load.up_to_rank(rank);
        let other_partition = !in_partition(server, access);
        placement::Candidate {
            hash: server.hash,
            in_flight: load.total().in_flight,
            competing: competing.in_flight,
            slots: server.backend.slots,
            pending_prefill: competing.pending_prefill,
            reading: load.total().pending_prefill,
            room: rooms.room(server, load, now).filter(|_| other_partition),
            uncached: prompt_tokens.saturating_sub(available_tokens),
            recomputed: shared_tokens.saturating_sub(available_tokens),
            fetched,
            cost_factor: server.health.cost_factor(now),
            slowness: 1.0,
            own_work: placement::own_work(is_stream, server.backend.slots),
            other_partition,
            same_zone: server.backend.zone == state.settings.zone,
        }
    };
    let open = loads.iter().enumerate().filter(|(index, _)| access[*index].is_open);
    let indices: PerBackend<usize> = open.clone().map(|(index, _)| index).collect();
    let candidates: PerBackend<_> = open.map(candidate).collect();
    let cheapest = placement::choose_cheapest(&candidates, rand::random())?;
    let is_preferred = shared_tokens >= MIN_PREFERENCE_TOKENS
        && preference_of(candidates[cheapest].hash).is_some();
    let selected = if request.is_long() || is_preferred {
        cheapest
    } else {
        placement::choose_weighted(&candidates, expected_arrivals(request, now), rand::random())?
    };
    let server = usable[indices[selected]];
    // Unlike the cost, this counts only what is known to be cached: a fetch that brings nothing is
    // cheap, a part that was only expected there is not.
    let fetch_source = source
        .filter(|source| source.fetched_tokens(prefixes[indices[selected]].tokens) > 0)
        .map(|source| usable[source.index].backend.address);
    Some(attempt::Target {
        id: server.backend.id.clone(),
        started_ms: server.backend.started_ms,
        zone: server.backend.zone.clone(),
        address: server.backend.address,
        uncached_tokens: candidates[selected].uncached,
        queued_tokens: candidates[selected].pending_prefill,
        reading: candidates[selected].reading,
        room: rooms.room(server, &loads[indices[selected]], now),
        fetch_source,
        preference: preference_of(server.hash).map_or(0, |at| at as u8 + 1),
    })
}

/// What a request needs to know of the room at the engines of its service.
struct EngineRoomView<'a> {
    request: &'a dispatch::ProxyRequest,
    gaps: engine_room::RankGaps,
    /// Prompt tokens that the engines of the service read per millisecond, as observed.
    rate: f64,
}

impl<'a> EngineRoomView<'a> {
    fn of(request: &'a dispatch::ProxyRequest) -> Self {
        let (state, service) = (&request.state, &request.admitted.service);
        let gaps = state.configuration().map(|configuration| configuration.rank_gaps(service));
        let speeds = state.prefill_speeds.borrow();
        let rate = speeds.get(service).copied().unwrap_or_default().rate();
        Self { request, gaps: gaps.unwrap_or_default(), rate }
    }

    /// Room at an engine; what was learned of itself counts more than what was observed of its
    /// service.
    fn room(
        &self,
        server: &directory::BackendState,
        load: &directory::Load,
        now: time::Instant,
    ) -> Option<u64> {
        let admitted = &self.request.admitted;
        let own = admitted.route.kind.max_gap();
        let pause = engine_room::tolerated_pause(own, &self.gaps, load)?;
        let capacities = self.request.state.learned_capacities.borrow();
        let belief = capacities
            .get(&admitted.service)
            .map(|capacities| capacities.belief(server.hash, server.backend.started_ms, now));
        let learned = belief.filter(|belief| belief.age.is_some());
        let rate = learned.map_or(self.rate, |belief| belief.prefill_rate);
        let rooms = self.request.state.engine_rooms.borrow();
        let room = rooms.get(&admitted.service).map(|rooms| rooms.room(pause, rate));
        Some(room.unwrap_or_else(|| engine_room::EngineRooms::default().room(pause, rate)))
    }
}

/// What each backend server is known to have cached of the shared segments of a prompt. Nothing is
/// fetched from one that is cold or names a limit.
fn cached_prefixes(
    state: &state::State,
    usable: &[&directory::BackendState],
    access: &[access::Access],
    shared_segments: &[codec::Segment],
    now: time::Instant,
) -> PerBackend<cache_source::CachedPrefix> {
    let cached_prefix = |(server, access): (&&directory::BackendState, &access::Access)| {
        let tokens = server.prefix_cache.cached_tokens(shared_segments, now);
        cache_source::CachedPrefix {
            tokens: if access.is_limited || access.is_cold { 0 } else { tokens },
            same_zone: server.backend.zone == state.settings.zone,
        }
    };
    usable.iter().zip(access).map(cached_prefix).collect()
}

/// Expected number of similar requests that all gateways place before they learn of each other's.
fn expected_arrivals(request: &dispatch::ProxyRequest, now: time::Instant) -> f64 {
    let state = &request.state;
    let gateways = state.gateway_count();
    let mut rates = state.arrival_rates.borrow_mut();
    let rate = rates.entry(request.admitted.service.clone()).or_default();
    rate.observe(now);
    let interval = gossip_timing::load_interval(gateways - 1).mul_f64(UNREPORTED_FRACTION);
    rate.expected_count(gateways, interval, now)
}

/// Backend servers that have not been tried, can get a connection and are not paused after a failure,
/// and whether they may get the request. If all that may are paused, paused ones are returned.
fn usable_backends<'a>(
    request: &'a dispatch::ProxyRequest,
    ticket: Option<&waiting_line::Ticket>,
    directory: &'a directory::Directory,
    now: time::Instant,
) -> (PerBackend<&'a directory::BackendState>, PerBackend<access::Access>) {
    let state = &request.state;
    let service = &request.admitted.service;
    // Silent gateways may have their connections open.
    let gateways = u32::try_from(state.fleet().gateways).unwrap_or(u32::MAX);
    let limit = state.configuration().and_then(|configuration| {
        configuration.find_service(service).map(|service| service.max_connections)
    });
    let limit = limit.map_or(u32::MAX, |limit| (limit / gateways).max(1));
    let is_untried =
        |server: &&directory::BackendState| !request.tried.contains(&server.backend.id);
    let has_connection = |server: &&directory::BackendState| {
        let address = server.backend.address;
        state.pool.open_count(address) < limit || state.pool.idle_count(address) > 0
    };
    let is_wanted = |server: &&directory::BackendState| {
        directory.quiet_time_left(&server.backend, now).is_zero()
    };
    let untried = eligibility::of_service(request, directory).filter(is_untried);
    let open = untried.filter(is_wanted).filter(has_connection);
    let protection = cold_servers::protection(state, service);
    let access = |server| (server, access::of(request, protection.as_ref(), ticket, server, now));
    let usable: PerBackend<_> = open.map(access).collect();
    let is_available = |server: &directory::BackendState| server.health.is_available(now);
    let may_get = |(server, access): &(&directory::BackendState, access::Access)| {
        access.is_open && is_available(server)
    };
    let skips_paused = usable.iter().any(may_get);
    usable.into_iter().filter(|(server, _)| !skips_paused || is_available(server)).unzip()
}

/// Time until the first backend server of the service wants requests again, if all of them have
/// asked for a quiet period.
pub(super) fn shortest_quiet_time(request: &dispatch::ProxyRequest) -> Option<Duration> {
    let now = time::Instant::now();
    let directory = request.state.directory.borrow();
    let servers = eligibility::of_service(request, &directory);
    let times = servers.map(|server| directory.quiet_time_left(&server.backend, now));
    times.min().filter(|time| !time.is_zero())
}

/// Load of all gateways at each backend server.
///
/// Gateways without a recent report are assumed to load all backend servers equally.
fn total_loads(
    state: &state::State,
    usable: &[&directory::BackendState],
) -> PerBackend<directory::Load> {
    let mut peers = state.peers.borrow_mut();
    let now = state.clock.now();
    let reported: PerBackend<_> =
        usable.iter().map(|server| peers.load(server.hash, now)).collect();
    let unreported =
        placement::extrapolate_load(&reported, peers.unreported_ratio(&state.settings.node, now));
    let total = |(server, reported): (&&directory::BackendState, &directory::Load)| {
        let mut load = server.own_load;
        load += *reported;
        load += unreported;
        load
    };
    usable.iter().zip(&reported).map(total).collect()
}

/// The lowest hash of the engines for long prompts; `None` if all engines serve both kinds.
fn partition_boundary(
    request: &dispatch::ProxyRequest,
    usable: &[&directory::BackendState],
    access: &[access::Access],
    loads: &[directory::Load],
    now: time::Instant,
) -> Option<u32> {
    let long: u32 = loads.iter().map(|load| load.long_prompts).sum();
    let running: u32 = loads.iter().map(|load| load.total().in_flight).sum();
    let demand = engine_partition::Demand {
        long: f64::from(long),
        short: f64::from(running.saturating_sub(long)),
    };
    let slots = usable.iter().map(|server| server.backend.slots).max().unwrap_or(1);
    let mut partitions = request.state.engine_partitions.borrow_mut();
    let partition = partitions.entry(request.admitted.service.clone()).or_default();
    partition.observe_tier(request.is_long(), request.admitted.route.tier);
    let unlimited = usable.iter().zip(access).filter(|(_, access)| !access.is_limited);
    let mut hashes: PerBackend<_> = unlimited.map(|(server, _)| server.hash).collect();
    let short = partition.update(demand, hashes.len(), slots, now)?;
    hashes.sort_unstable();
    hashes.get(short).copied()
}
