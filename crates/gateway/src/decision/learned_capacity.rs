//! Learns how much each backend server takes before its callers get worse.
//!
//! The servers of a service differ in speed, some slow down before all their slots are used, and both
//! change. Times of a gateway's own requests are compared with what the service takes for the same
//! work, by route: the logarithm of their ratio is the *excess*. Its mean over a run of a server,
//! against the median of the servers, is how slow the run is; what is left of it in the upper quarters
//! of the slots is how much it suffers from crowding. A mean counts as far as chance doesn't explain
//! it. Gateways tell each other their samples, since each of them sees few.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::learned_capacity;
//! use tokio::time;
//!
//! let mut learned = learned_capacity::LearnedCapacities::default();
//! let mut now = time::Instant::now();
//! for request in 0..120_u64 {
//!     now += Duration::from_millis(20);
//!     let backend = (request % 3) as u32;
//!     let place = learned_capacity::Place {
//!         backend, started_ms: 1, slots: 6, running: 1, tokens: 0, route: 7,
//!     };
//!     let took = Duration::from_millis(if backend == 2 { 100 } else { 50 });
//!     let span = learned_capacity::Span::Whole;
//!     learned.observe(&learned_capacity::Sample { place, span, took }, now);
//! }
//! let slowness = learned.belief(2, 1, now).slowness;
//! assert!((1.6..2.1).contains(&slowness), "{slowness}");
//! assert_eq!(learned.belief(9, 1, now).slowness, 1.0);
//! ```

mod average;
mod belief;
mod change;
mod fit;
mod sample;
mod told_samples;
mod track;

use std::collections;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time;

use super::prefill_speed;

pub use belief::Belief;
pub use belief::INITIAL_PREFILL_RATE;
pub use change::Change;
pub use sample::Place;
pub use sample::Sample;
pub use sample::Span;
pub use told_samples::ToldSamples;

/// Identifies a request that was sent to a backend server.
pub type Ticket = u64;

/// Maximum number of runs of which something is kept.
const MAX_RUNS: usize = 4_096;

/// Maximum number of routes whose times are compared.
const MAX_FITS: usize = 64;

/// Maximum number of samples in one message to the other gateways.
const MAX_TOLD: usize = 100;

/// Largest factor by which a time may exceed what is expected; longer ones count as this one, so that
/// a single request says little.
const MAX_FACTOR: f64 = 8.0;

/// A request that is given up counts as slow if it has waited this many times as long as expected.
const ABANDONED_FACTOR: f64 = 2.0;

/// Variance of the excess before any sample, and the number of samples that it counts for.
const PRIOR_VARIANCE: (f64, f64) = (0.25, 10.0);

/// Half-life of the samples of the variance.
const VARIANCE_HALF_LIFE: Duration = Duration::from_secs(30);

/// Bounds of the variance. Under the lower one, servers would differ by what is no difference.
const VARIANCE_BOUNDS: (f64, f64) = (0.02, 0.5);

/// Interval for each server at which the medians of the servers are determined, so that their cost
/// doesn't grow with the service.
const MEDIAN_INTERVAL_EACH: Duration = Duration::from_micros(50);

/// Time without samples after which a run is forgotten.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Factor from which on a change is reported.
const REPORTED_FACTOR: f64 = 1.5;

/// What a gateway has learned about the backend servers of one service.
#[derive(Debug)]
pub struct LearnedCapacities {
    prefill: prefill_speed::PrefillSpeed,
    tracks: collections::BTreeMap<u32, track::Track>,
    fits: collections::HashMap<(Span, u64), fit::Fit>,
    variance: average::Average,
    /// Median of what the servers' times exceed those expected by at the moment.
    common: f64,
    /// Median of what is left of it over a longer time.
    median: f64,
    median_at: Option<time::Instant>,
    slots: u32,
    tickets: Ticket,
}

impl Default for LearnedCapacities {
    fn default() -> Self {
        Self {
            prefill: prefill_speed::PrefillSpeed::default(),
            tracks: collections::BTreeMap::new(),
            fits: collections::HashMap::new(),
            variance: average::Average::new(VARIANCE_HALF_LIFE),
            common: 0.0,
            median: 0.0,
            median_at: None,
            slots: 1,
            tickets: 0,
        }
    }
}

impl LearnedCapacities {
    /// What is believed of a run of a backend server, which started at `started_ms`.
    #[must_use]
    pub fn belief(&self, backend: u32, started_ms: u64, now: time::Instant) -> Belief {
        let prefill_rate = self.prefill.rate();
        let Some(track) = self.run(backend, started_ms) else {
            return Belief { prefill_rate, ..Belief::default() };
        };
        let slowness = track.slowness(0, now);
        let slots = f64::from(self.slots);
        let knee = track.view.knee.map(|share| (share * slots).max(1.0));
        let room = track.room(now).filter(|room| *room < slots);
        Belief {
            prefill_rate: prefill_rate / slowness,
            slowness,
            concurrency: knee.into_iter().chain(room).reduce(f64::min),
            age: track.sampled_at.map(|at| now.saturating_duration_since(at)),
        }
    }

    /// How slow a run of a backend server is, as [`Belief::slowness`], for a request that is one of
    /// `running` there.
    #[must_use]
    pub fn slowness_at(
        &self,
        backend: u32,
        started_ms: u64,
        running: u32,
        slots: u32,
        now: time::Instant,
    ) -> f64 {
        let quarter = sample::quarter(running, slots);
        self.run(backend, started_ms).map_or(1.0, |track| track.slowness(quarter, now))
    }

    /// How fast a typical engine of the service reads prompts.
    #[must_use]
    pub const fn prefill(&self) -> &prefill_speed::PrefillSpeed {
        &self.prefill
    }

    /// Records that a request is sent; its first event, or the end of its answer, is waited for.
    pub fn begin(&mut self, place: &Place, span: Span, now: time::Instant) -> Ticket {
        self.tickets += 1;
        self.slots = place.slots.max(1);
        let ticket = self.tickets;
        if let Some(expected) = self.expected(place, span)
            && let Some(track) = self.track_mut(place.backend, place.started_ms)
        {
            track.begin(ticket, expected, now);
        }
        ticket
    }

    /// Records that a request is not waited for any more.
    pub fn end(&mut self, place: &Place, ticket: Ticket) {
        if let Some(track) = self.tracks.get_mut(&place.backend) {
            track.end(ticket);
        }
    }

    /// Records a time; returns how the belief has changed, if it has changed much.
    pub fn observe(&mut self, sample: &Sample, now: time::Instant) -> Option<Change> {
        let place = &sample.place;
        if sample.span == Span::Start {
            self.prefill.observe(place.tokens, sample.took);
        }
        let took = sample.took.as_secs_f64().max(1e-4);
        let expected = self.expected(place, sample.span);
        let own = self.run(place.backend, place.started_ms);
        let own = own.map_or(0.0, |track| track.view.excess(place.quarter()));
        let bounded = expected.map_or(took, |expected| took.min(expected * MAX_FACTOR));
        let typical = bounded / own.exp() / place.turns(sample.span);
        self.fit_mut(sample).observe(place.work(sample.span), typical, now);
        let excess = (took / expected?).ln();
        self.record_own(place, excess, now, now)
    }

    /// Records that a request was given up after `waited`, before the first event or the end of its
    /// answer. It would have taken longer.
    pub fn abandon(
        &mut self,
        place: &Place,
        span: Span,
        waited: Duration,
        now: time::Instant,
    ) -> Option<Change> {
        let ratio = waited.as_secs_f64() / self.expected(place, span)?;
        if ratio < ABANDONED_FACTOR {
            return None;
        }
        let sent_at = now.checked_sub(waited).unwrap_or(now);
        self.record_own(place, ratio.ln(), sent_at, now)
    }

    /// Records that a run of a backend server rejected a request for lack of capacity.
    pub fn reject(&mut self, place: &Place, now: time::Instant) {
        if let Some(track) = self.track_mut(place.backend, place.started_ms) {
            track.reject(place.running.saturating_sub(1), now);
        }
    }

    /// Own samples since the last call, for the other gateways.
    pub fn tell(&mut self, now: time::Instant) -> Vec<ToldSamples> {
        let mut told = Vec::new();
        for (backend_hash, track) in &mut self.tracks {
            if let Some((excess, sent_at)) = track.overdue(now) {
                track.add_untold(0, excess.min(MAX_FACTOR.ln()), sent_at);
            }
            for (quarter, untold) in (0..).zip(&mut track.untold) {
                let (count, sum) = std::mem::take(untold);
                if count > 0 && told.len() < MAX_TOLD {
                    let excess = (sum / f64::from(count) * 1_000.0).round() as i16;
                    let (backend_hash, started_ms) = (*backend_hash, track.started_ms);
                    let age = track.told_at.map(|at| now.saturating_duration_since(at));
                    let age_ms = age.unwrap_or_default().as_millis();
                    let age_ms = u16::try_from(age_ms).unwrap_or(u16::MAX);
                    told.push(ToldSamples {
                        backend_hash,
                        started_ms,
                        quarter,
                        count,
                        excess,
                        age_ms,
                    });
                }
            }
        }
        told
    }

    /// Takes over samples of another gateway; returns how the belief has changed, if it has changed
    /// much.
    pub fn merge(&mut self, told: &ToldSamples, now: time::Instant) -> Option<Change> {
        let quarter = usize::from(told.quarter).min(track::QUARTERS - 1);
        let run = (told.backend_hash, told.started_ms);
        // A gateway that tells of very many samples isn't believed more than any other.
        let count = f64::from(told.count.clamp(1, 100));
        let excess = f64::from(told.excess) / 1_000.0;
        let age = Duration::from_millis(told.age_ms.into());
        let sampled_at = now.checked_sub(age).unwrap_or(now);
        self.record(run, quarter, (excess, count), (sampled_at, now))
    }

    fn record_own(
        &mut self,
        place: &Place,
        excess: f64,
        sampled_at: time::Instant,
        now: time::Instant,
    ) -> Option<Change> {
        let (quarter, run) = (place.quarter(), (place.backend, place.started_ms));
        let excess = excess.clamp(-MAX_FACTOR.ln(), MAX_FACTOR.ln());
        self.track_mut(run.0, run.1)?.add_untold(quarter, excess, sampled_at);
        self.record(run, quarter, (excess, 1.0), (sampled_at, now))
    }

    fn record(
        &mut self,
        (backend, started_ms): (u32, u64),
        quarter: usize,
        (excess, count): (f64, f64),
        (sampled_at, now): (time::Instant, time::Instant),
    ) -> Option<Change> {
        let excess = excess.clamp(-MAX_FACTOR.ln(), MAX_FACTOR.ln());
        let variance = self.variance(now);
        self.update_median(now);
        let (common, median) = (self.common, self.median);
        let track = self.track_mut(backend, started_ms)?;
        track.observe_whole(excess, count, now);
        let own = excess - common;
        let rest = own - median - track.view.excess(quarter);
        track.observe(quarter, own, count, variance, (sampled_at, now));
        track.update_view(median, variance, now);
        self.variance.add(rest.powi(2) * count, 1.0, now);
        self.report(backend, now)
    }

    /// Time to expect at a typical server, in seconds.
    fn expected(&self, place: &Place, span: Span) -> Option<f64> {
        let expected = self.fits.get(&(span, place.route))?.predict(place.work(span))?;
        Some(expected * place.turns(span))
    }

    fn fit_mut(&mut self, sample: &Sample) -> &mut fit::Fit {
        let key = (sample.span, sample.place.route);
        if self.fits.len() >= MAX_FITS && !self.fits.contains_key(&key) {
            let oldest = self.fits.iter().min_by_key(|(_, fit)| fit.at).map(|(key, _)| *key);
            oldest.map(|key| self.fits.remove(&key));
        }
        self.fits.entry(key).or_default()
    }

    fn run(&self, backend: u32, started_ms: u64) -> Option<&track::Track> {
        self.tracks.get(&backend).filter(|track| track.started_ms == started_ms)
    }

    /// What is kept of a run; nothing is kept of one that is older than a known one.
    fn track_mut(&mut self, backend: u32, started_ms: u64) -> Option<&mut track::Track> {
        if self.tracks.len() >= MAX_RUNS && !self.tracks.contains_key(&backend) {
            return None;
        }
        let track = self.tracks.entry(backend).or_insert_with(|| track::Track::new(started_ms));
        if track.started_ms < started_ms {
            *track = track::Track::new(started_ms);
        }
        (track.started_ms == started_ms).then_some(track)
    }

    fn variance(&self, now: time::Instant) -> f64 {
        let (prior, weight) = PRIOR_VARIANCE;
        let observed = self.variance.weight(now);
        let mean = (prior * weight + self.variance.mean() * observed) / (weight + observed);
        mean.clamp(VARIANCE_BOUNDS.0, VARIANCE_BOUNDS.1)
    }

    /// Determines the median of the servers: what all of them have in common is load, or the gateway's
    /// own slowness.
    fn update_median(&mut self, now: time::Instant) {
        let age = self.median_at.map(|at| now.saturating_duration_since(at));
        let interval = MEDIAN_INTERVAL_EACH * self.tracks.len() as u32;
        if age.is_some_and(|age| age < interval) {
            return;
        }
        self.median_at = Some(now);
        let is_recent = |track: &track::Track| {
            track.sampled_at.is_none_or(|at| now.saturating_duration_since(at) < MAX_AGE)
        };
        self.tracks.retain(|_, track| is_recent(track) || track.is_waited_for());
        let seen = || self.tracks.values().filter(|track| track.sampled_at.is_some());
        self.common = median(seen().map(track::Track::whole).collect());
        self.median = median(seen().map(track::Track::mean).collect());
    }

    /// Reports the slowness of a run if it differs much from the one that was reported last.
    fn report(&mut self, backend: u32, now: time::Instant) -> Option<Change> {
        let started_ms = self.tracks.get(&backend)?.started_ms;
        let belief = self.belief(backend, started_ms, now);
        let track = self.tracks.get_mut(&backend)?;
        let before = track.reported;
        let factor = belief.slowness / before;
        if factor < REPORTED_FACTOR && factor > 1.0 / REPORTED_FACTOR {
            return None;
        }
        track.reported = belief.slowness;
        let (slowness, concurrency) = (belief.slowness, belief.concurrency);
        Some(Change { backend, before, slowness, concurrency })
    }
}

/// The median; zero of nothing.
fn median(mut values: SmallVec<[f64; 64]>) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let middle = values.len() / 2;
    match values.get(middle) {
        None => 0.0,
        Some(upper) if values.len() % 2 == 1 => *upper,
        Some(upper) => f64::midpoint(*upper, values[middle - 1]),
    }
}
