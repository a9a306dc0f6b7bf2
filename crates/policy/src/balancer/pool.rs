//! Load balancing among the replicas of one pool.

use std::collections;
use std::time::Duration;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use rand::RngExt as _;
use tokio::time;

use super::health;
use super::load;
use super::observation;
use super::prefix;
use super::replica;
use super::request;
use super::selection;
use super::tracked;

/// Replicas sampled for each selection.
const SAMPLES: usize = 2;

/// Load factor by which the replica with the cached prefix may exceed the sampled one.
const PREFIX_SLACK: f32 = 0.25;

/// Load factor above which a replica is not preferred for its cached prefix.
const MAX_PREFIX_LOAD: f32 = 1.0;

/// Load factor by which a replica in the entry's zone may exceed one in another zone.
const ZONE_SLACK: f32 = 0.0625;

/// Interval at which the replicas are compared with their peers.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);

/// No replica is ejected as slow while one in this many is ejected already.
const EJECTION_DIVISOR: usize = 3;

/// Time after which to retry if no replica is available.
const NO_REPLICA_RETRY: Duration = Duration::from_secs(2);

/// Balances the requests of one entry among the replicas of one pool.
#[derive(Clone, Debug)]
pub struct Balancer {
    zone: ids::ZoneId,
    replicas: Vec<tracked::TrackedReplica>,
    /// Positions in `replicas`, by node.
    index: collections::HashMap<ids::NodeId, usize>,
    /// Positions of the replicas that are available and not ejected.
    eligible: Vec<usize>,
    /// Hashes of the eligible replicas, kept contiguous for the scan by prefix.
    hashes: Vec<u64>,
    /// Positions of the replicas that are available but ejected.
    ejected: Vec<usize>,
    compared: Option<time::Instant>,
}

impl Balancer {
    /// A balancer for an entry in `zone`, without replicas.
    #[must_use]
    pub fn new(zone: impl Into<ids::ZoneId>) -> Self {
        Self {
            zone: zone.into(),
            replicas: Vec::new(),
            index: collections::HashMap::new(),
            eligible: Vec::new(),
            hashes: Vec::new(),
            ejected: Vec::new(),
            compared: None,
        }
    }

    /// Replaces the replicas. The tracked load and health of those that stay are kept.
    pub fn set_replicas(&mut self, replicas: impl IntoIterator<Item = replica::Replica>) {
        let mut old: collections::HashMap<_, _> = self
            .replicas
            .drain(..)
            .map(|tracked| (tracked.replica.node.clone(), tracked))
            .collect();
        for replica in replicas {
            let tracked = match old.remove(&replica.node) {
                Some(mut tracked) => {
                    tracked.agent_leaving &= replica.leaving || !tracked.replica.leaving;
                    tracked.replica = replica;
                    tracked
                }
                None => tracked::TrackedReplica::new(replica),
            };
            self.replicas.push(tracked);
        }
        let nodes = self.replicas.iter().enumerate();
        self.index = nodes.map(|(i, tracked)| (tracked.replica.node.clone(), i)).collect();
        self.partition();
    }

    /// Records a load report that came with a response.
    pub fn report(&mut self, node: &str, load: load::Load, now: time::Instant) {
        if let Some(&i) = self.index.get(node) {
            self.replicas[i].report(load, now);
        }
    }

    /// Records an observation of a request that was sent to `node`.
    pub fn observe(
        &mut self,
        node: &str,
        observation: observation::Observation,
        now: time::Instant,
    ) {
        let Some(&i) = self.index.get(node) else { return };
        let before = self.is_eligible(i);
        self.replicas[i].observe(observation, now);
        if before != self.is_eligible(i) {
            self.partition();
        }
    }

    /// Selects a replica and counts the request as sent to it.
    ///
    /// # Errors
    ///
    /// A refusal of a request that certainly did not run, if no available replica is left to try.
    pub fn select(
        &mut self,
        now: time::Instant,
        request: &request::Request,
        rng: &mut impl rand::Rng,
    ) -> Result<selection::Selection, refusal::Refusal> {
        self.compare_peers(now);
        let candidate = self
            .select_for_probe(now, request)
            .or_else(|| self.select_eligible(now, request, rng))
            .or_else(|| self.select_last_resort(now, request));
        let Some(candidate) = candidate else {
            let message = "no replica is ready that was not tried";
            let refusal = refusal::Refusal::not_run(code::Code::NoReplica, message);
            return Err(refusal.retry_after(NO_REPLICA_RETRY));
        };
        let tracked = &mut self.replicas[candidate.index];
        let load_factor = tracked.load_factor(now);
        tracked.count_sent();
        Ok(selection::Selection {
            node: tracked.replica.node.clone(),
            reason: candidate.reason,
            load_factor,
            alternative: candidate.alternative,
            eligible: self.eligible.len(),
            ejected: self.ejected.len(),
        })
    }

    /// Whether any replica is available, ejected or not.
    #[must_use]
    pub fn has_replica(&self) -> bool {
        self.replicas.iter().any(tracked::TrackedReplica::is_available)
    }

    /// Nodes of the replicas that are ejected because they fail or are slow.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        self.ejected.iter().map(|i| self.replicas[*i].replica.node.as_str())
    }

    /// The replica with the cached prefix, or else the least loaded sampled one.
    fn select_eligible(
        &self,
        now: time::Instant,
        request: &request::Request,
        rng: &mut impl rand::Rng,
    ) -> Option<Candidate> {
        let sampled = self.sample(now, request, rng);
        let cached = request.prefix.and_then(|prefix| self.prefix_replica(prefix, request));
        let (Some(cached), Some((score, index))) = (cached, sampled) else {
            return sampled.map(|(_, index)| Candidate::new(index, selection::Reason::LeastLoaded));
        };
        let cached_score = self.score(cached, now);
        if cached_score <= MAX_PREFIX_LOAD && cached_score <= score + PREFIX_SLACK {
            return Some(Candidate::new(cached, selection::Reason::Prefix).alternative(score));
        }
        Some(Candidate::new(index, selection::Reason::LeastLoaded).alternative(cached_score))
    }

    /// The least loaded of [`SAMPLES`] random eligible replicas, with its score.
    fn sample(
        &self,
        now: time::Instant,
        request: &request::Request,
        rng: &mut impl rand::Rng,
    ) -> Option<(f32, usize)> {
        let mut best: Option<(f32, usize)> = None;
        for _ in 0..SAMPLES {
            let previous = best.map(|(_, index)| index);
            let Some(index) = self.random_eligible(previous, request, rng) else { break };
            let score = self.score(index, now);
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, index));
            }
        }
        best
    }

    /// A random eligible replica other than `previous` and those that were tried.
    fn random_eligible(
        &self,
        previous: Option<usize>,
        request: &request::Request,
        rng: &mut impl rand::Rng,
    ) -> Option<usize> {
        if self.eligible.is_empty() {
            return None;
        }
        let (left, right) = self.eligible.split_at(rng.random_range(0..self.eligible.len()));
        let mut all = right.iter().chain(left).copied();
        all.find(|i| Some(*i) != previous && !self.is_avoided(*i, request))
    }

    /// The eligible replica that ranks first for the prefix, unless it was tried.
    fn prefix_replica(&self, prefix: u64, request: &request::Request) -> Option<usize> {
        let ranks = self.hashes.iter().map(|hash| prefix::rank(prefix, *hash));
        let (_, i) = ranks.zip(&self.eligible).max()?;
        (!self.is_avoided(*i, request)).then_some(*i)
    }

    /// Load factor, with a penalty for another zone; lower is better.
    fn score(&self, index: usize, now: time::Instant) -> f32 {
        let tracked = &self.replicas[index];
        let penalty = if tracked.replica.zone == self.zone { 0.0 } else { ZONE_SLACK };
        tracked.load_factor(now) + penalty
    }

    /// An ejected replica whose probe is due; schedules its next probe.
    fn select_for_probe(
        &mut self,
        now: time::Instant,
        request: &request::Request,
    ) -> Option<Candidate> {
        if !request.may_probe {
            return None;
        }
        let due = |i: &&usize| {
            let ejection = self.replicas[**i].health.ejection;
            ejection.is_some_and(|ejection| ejection.next_probe <= now)
                && !self.is_avoided(**i, request)
        };
        let index = self.ejected.iter().find(due).copied()?;
        self.replicas[index].health.schedule_probe(now);
        Some(Candidate::new(index, selection::Reason::Probe))
    }

    /// The least loaded available replica that was not tried, ejected or not.
    fn select_last_resort(
        &self,
        now: time::Instant,
        request: &request::Request,
    ) -> Option<Candidate> {
        let available = (0..self.replicas.len()).filter(|i| self.replicas[*i].is_available());
        let available = available.filter(|i| !self.is_avoided(*i, request));
        let index = available.min_by(|a, b| self.score(*a, now).total_cmp(&self.score(*b, now)))?;
        Some(Candidate::new(index, selection::Reason::LastResort))
    }

    fn is_avoided(&self, index: usize, request: &request::Request) -> bool {
        let node = &self.replicas[index].replica.node;
        request.avoid.iter().any(|avoid| avoid == node)
    }

    fn is_eligible(&self, index: usize) -> bool {
        let tracked = &self.replicas[index];
        tracked.is_available() && tracked.health.ejection.is_none()
    }

    /// Compares the replicas with their peers, at most once per [`COMPARE_INTERVAL`].
    fn compare_peers(&mut self, now: time::Instant) {
        let recent = |at| now.saturating_duration_since(at) < COMPARE_INTERVAL;
        if self.compared.is_some_and(recent) {
            return;
        }
        self.compared = Some(now);
        let token_times =
            self.replicas.iter().filter_map(|tracked| tracked.health.token_time.reliable());
        let first_bytes =
            self.replicas.iter().filter_map(|tracked| tracked.health.first_byte.reliable());
        let peers = health::PeerMedians {
            token_time: median(token_times),
            first_byte: median(first_bytes),
        };
        let mut ejectable =
            (self.replicas.len() / EJECTION_DIVISOR).saturating_sub(self.ejected.len());
        for tracked in &mut self.replicas {
            let before = tracked.health.ejection.is_some();
            tracked.health.compare(peers, ejectable > 0, now);
            tracked.slowness = tracked.health.slowness(peers);
            if !before && tracked.health.ejection.is_some() {
                ejectable -= 1;
            }
        }
        self.partition();
    }

    /// Partitions the available replicas into eligible and ejected ones.
    fn partition(&mut self) {
        self.eligible = (0..self.replicas.len()).filter(|i| self.is_eligible(*i)).collect();
        self.hashes = self.eligible.iter().map(|i| self.replicas[*i].hash).collect();
        let available = (0..self.replicas.len()).filter(|i| self.replicas[*i].is_available());
        self.ejected = available.filter(|i| !self.is_eligible(*i)).collect();
    }
}

/// A replica about to be selected.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    index: usize,
    reason: selection::Reason,
    /// Score of the best replica that was compared and not taken.
    alternative: Option<f32>,
}

impl Candidate {
    const fn new(index: usize, reason: selection::Reason) -> Self {
        Self { index, reason, alternative: None }
    }

    const fn alternative(mut self, score: f32) -> Self {
        self.alternative = Some(score);
        self
    }
}

/// The median; the lower of the two middle values for an even count.
fn median(values: impl Iterator<Item = f32>) -> Option<f32> {
    let mut values: Vec<f32> = values.collect();
    if values.is_empty() {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    Some(*values.select_nth_unstable_by(middle, f32::total_cmp).1)
}
