//! The choice among the replicas of one pool.

use std::collections;
use std::time::Duration;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;
use rand::RngExt as _;
use tokio::time;

use super::health;
use super::known;
use super::load;
use super::observation;
use super::prefix;
use super::replica;
use super::request;
use super::selection;

/// Replicas sampled for each choice.
const SAMPLES: usize = 2;

/// A replica may be this much fuller, in requests for each slot, to serve its cached prefix.
const PREFIX_SLACK: f32 = 0.25;

/// A replica is not kept to for its cached prefix above this, in requests for each slot.
const MOST_PREFIX_FILL: f32 = 1.0;

/// A replica in the own zone may be this much fuller, in requests for each slot.
const ZONE_SLACK: f32 = 0.0625;

/// Time between two comparisons of the replicas with their peers.
const COMPARE_INTERVAL: Duration = Duration::from_millis(500);

/// One replica in this many may be left out for slowness.
const LEFT_OUT_SHARE: usize = 3;

/// When to come back if there is no replica.
const NO_REPLICA_RETRY: Duration = Duration::from_secs(2);

/// Chooses among the replicas of one pool, as one entry knows them.
#[derive(Clone, Debug)]
pub struct Balancer {
    zone: ids::ZoneId,
    known: Vec<known::Known>,
    index: collections::HashMap<ids::NodeId, usize>,
    /// Replicas that may be chosen, as positions in `known`.
    eligible: Vec<usize>,
    /// Hashes of the eligible replicas, side by side for the scan by prefix.
    hashes: Vec<u64>,
    left_out: Vec<usize>,
    compared: Option<time::Instant>,
}

impl Balancer {
    /// A chooser for an entry in `zone`, without replicas yet.
    #[must_use]
    pub fn new(zone: impl Into<ids::ZoneId>) -> Self {
        Self {
            zone: zone.into(),
            known: Vec::new(),
            index: collections::HashMap::new(),
            eligible: Vec::new(),
            hashes: Vec::new(),
            left_out: Vec::new(),
            compared: None,
        }
    }

    /// Takes the present replicas; what was learnt of those that stay is kept.
    pub fn set_replicas(&mut self, replicas: impl IntoIterator<Item = replica::Replica>) {
        let mut old: collections::HashMap<_, _> =
            self.known.drain(..).map(|known| (known.replica.node.clone(), known)).collect();
        for replica in replicas {
            let known = match old.remove(&replica.node) {
                Some(mut known) => {
                    known.left &= replica.leaving || !known.replica.leaving;
                    known.replica = replica;
                    known
                }
                None => known::Known::new(replica),
            };
            self.known.push(known);
        }
        let names = self.known.iter().enumerate();
        self.index = names.map(|(i, known)| (known.replica.node.clone(), i)).collect();
        self.sort_out();
    }

    /// Takes a load report that came with an answer.
    pub fn report(&mut self, node: &str, load: load::Load, now: time::Instant) {
        if let Some(&i) = self.index.get(node) {
            self.known[i].report(load, now);
        }
    }

    /// Takes what became of a request that was sent to `node`.
    pub fn observe(
        &mut self,
        node: &str,
        observation: observation::Observation,
        now: time::Instant,
    ) {
        let Some(&i) = self.index.get(node) else { return };
        let before = self.is_eligible(i);
        self.known[i].observe(observation, now);
        if before != self.is_eligible(i) {
            self.sort_out();
        }
    }

    /// Chooses a replica and counts the request as sent to it.
    ///
    /// # Errors
    ///
    /// A refusal that certainly did not run when no replica is left to try.
    pub fn select(
        &mut self,
        now: time::Instant,
        request: &request::Request,
        rng: &mut impl rand::Rng,
    ) -> Result<selection::Selection, refusal::Refusal> {
        self.compare(now);
        let picked = self
            .probe(now, request)
            .or_else(|| self.pick(now, request, rng))
            .or_else(|| self.last_resort(now, request));
        let Some(picked) = picked else {
            let message = "no replica is ready that was not tried";
            let refusal = refusal::Refusal::not_run(code::Code::NoReplica, message);
            return Err(refusal.retry_after(NO_REPLICA_RETRY));
        };
        let known = &mut self.known[picked.index];
        let load_factor = known.fill(now);
        known.sent();
        Ok(selection::Selection {
            node: known.replica.node.clone(),
            reason: picked.reason,
            load_factor,
            alternative: picked.other,
            eligible: self.eligible.len(),
            ejected: self.left_out.len(),
        })
    }

    /// Whether any replica is ready, well or not.
    #[must_use]
    pub fn has_replica(&self) -> bool {
        self.known.iter().any(known::Known::is_open)
    }

    /// Replicas left out because they fail or are slow.
    pub fn ejected(&self) -> impl Iterator<Item = &str> {
        self.left_out.iter().map(|i| self.known[*i].replica.node.as_str())
    }

    fn pick(
        &self,
        now: time::Instant,
        request: &request::Request,
        rng: &mut impl rand::Rng,
    ) -> Option<Picked> {
        let sampled = self.sample(now, request, rng);
        let home = request.prefix.and_then(|prefix| self.home(prefix, request));
        let (Some(home), Some((score, index))) = (home, sampled) else {
            return sampled.map(|(_, index)| Picked::new(index, selection::Reason::LeastLoaded));
        };
        let own = self.score(home, now);
        if own <= MOST_PREFIX_FILL && own <= score + PREFIX_SLACK {
            return Some(Picked::new(home, selection::Reason::Prefix).other(score));
        }
        Some(Picked::new(index, selection::Reason::LeastLoaded).other(own))
    }

    /// The least loaded of a few eligible replicas, with its score.
    fn sample(
        &self,
        now: time::Instant,
        request: &request::Request,
        rng: &mut impl rand::Rng,
    ) -> Option<(f32, usize)> {
        let mut best: Option<(f32, usize)> = None;
        for _ in 0..SAMPLES {
            let before = best.map(|(_, index)| index);
            let Some(index) = self.random(before, request, rng) else { break };
            let score = self.score(index, now);
            if best.is_none_or(|(known, _)| score < known) {
                best = Some((score, index));
            }
        }
        best
    }

    /// An eligible replica at random, other than `before` and those that were tried.
    fn random(
        &self,
        before: Option<usize>,
        request: &request::Request,
        rng: &mut impl rand::Rng,
    ) -> Option<usize> {
        if self.eligible.is_empty() {
            return None;
        }
        let (left, right) = self.eligible.split_at(rng.random_range(0..self.eligible.len()));
        let mut all = right.iter().chain(left).copied();
        all.find(|i| Some(*i) != before && !self.is_avoided(*i, request))
    }

    /// The eligible replica that ranks first for the prefix.
    fn home(&self, prefix: u64, request: &request::Request) -> Option<usize> {
        let ranks = self.hashes.iter().map(|hash| prefix::rank(prefix, *hash));
        let (_, i) = ranks.zip(&self.eligible).max()?;
        (!self.is_avoided(*i, request)).then_some(*i)
    }

    fn score(&self, index: usize, now: time::Instant) -> f32 {
        let known = &self.known[index];
        let away = if known.replica.zone == self.zone { 0.0 } else { ZONE_SLACK };
        known.fill(now) + away
    }

    /// A replica that is left out and due for a probe.
    fn probe(&mut self, now: time::Instant, request: &request::Request) -> Option<Picked> {
        if !request.may_probe {
            return None;
        }
        let due = |i: &&usize| {
            let out = self.known[**i].health.left_out;
            out.is_some_and(|out| out.probe <= now) && !self.is_avoided(**i, request)
        };
        let index = self.left_out.iter().find(due).copied()?;
        self.known[index].health.probed(now);
        Some(Picked::new(index, selection::Reason::Probe))
    }

    /// The least loaded replica that was not tried, well or not.
    fn last_resort(&self, now: time::Instant, request: &request::Request) -> Option<Picked> {
        let open = (0..self.known.len()).filter(|i| self.known[*i].is_open());
        let open = open.filter(|i| !self.is_avoided(*i, request));
        let index = open.min_by(|a, b| self.score(*a, now).total_cmp(&self.score(*b, now)))?;
        Some(Picked::new(index, selection::Reason::LastResort))
    }

    fn is_avoided(&self, index: usize, request: &request::Request) -> bool {
        let node = &self.known[index].replica.node;
        request.avoid.iter().any(|avoid| avoid == node)
    }

    fn is_eligible(&self, index: usize) -> bool {
        let known = &self.known[index];
        known.is_open() && known.health.left_out.is_none()
    }

    /// Compares the replicas with their peers, now and then.
    fn compare(&mut self, now: time::Instant) {
        let recent = |at| now.saturating_duration_since(at) < COMPARE_INTERVAL;
        if self.compared.is_some_and(recent) {
            return;
        }
        self.compared = Some(now);
        let paces = self.known.iter().filter_map(|known| known.health.pace.settled());
        let firsts = self.known.iter().filter_map(|known| known.health.first.settled());
        let peers = health::Peers { pace: median(paces), first: median(firsts) };
        let mut may_leave = (self.known.len() / LEFT_OUT_SHARE).saturating_sub(self.left_out.len());
        for known in &mut self.known {
            let before = known.health.left_out.is_some();
            known.health.compare(peers, may_leave > 0, now);
            known.slowness = known.health.slowness(peers);
            if !before && known.health.left_out.is_some() {
                may_leave -= 1;
            }
        }
        self.sort_out();
    }

    /// Sorts the replicas into those that may be chosen and those left out.
    fn sort_out(&mut self) {
        self.eligible = (0..self.known.len()).filter(|i| self.is_eligible(*i)).collect();
        self.hashes = self.eligible.iter().map(|i| self.known[*i].hash).collect();
        let open = (0..self.known.len()).filter(|i| self.known[*i].is_open());
        self.left_out = open.filter(|i| !self.is_eligible(*i)).collect();
    }
}

/// A replica about to be chosen.
#[derive(Clone, Copy, Debug)]
struct Picked {
    index: usize,
    reason: selection::Reason,
    other: Option<f32>,
}

impl Picked {
    const fn new(index: usize, reason: selection::Reason) -> Self {
        Self { index, reason, other: None }
    }

    const fn other(mut self, fill: f32) -> Self {
        self.other = Some(fill);
        self
    }
}

/// The middle value; the lower of two.
fn median(values: impl Iterator<Item = f32>) -> Option<f32> {
    let mut values: Vec<f32> = values.collect();
    if values.is_empty() {
        return None;
    }
    let middle = (values.len() - 1) / 2;
    Some(*values.select_nth_unstable_by(middle, f32::total_cmp).1)
}
