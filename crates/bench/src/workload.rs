//! Seeded arrivals of requests.

use std::time::Duration;

use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng as _;

use crate::deployment;
use crate::model;
use crate::scenario;

/// Conversations of each team in a class that share a prompt prefix.
const CONVERSATIONS: u64 = 4;

/// A request as its caller sends it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// When it comes.
    pub at: Duration,
    /// Position of its class.
    pub class: usize,
    /// Position of its team.
    pub team: usize,
    /// The entry it comes to.
    pub entry: usize,
    /// Prompt length in tokens.
    pub prompt: f64,
    /// Output length in tokens, or service time in milliseconds for a plain service.
    pub output: f64,
    /// Hash of its prompt's prefix.
    pub prefix: u64,
}

/// All arrivals of a scenario, in order of time.
#[must_use]
pub fn arrivals(
    deployment: &deployment::Deployment,
    scenario: scenario::Scenario,
    seed: u64,
) -> Vec<Arrival> {
    let mut all = Vec::new();
    for class in 0..deployment.work.len() {
        let mut rng = ChaCha8Rng::seed_from_u64(seed * 100 + class as u64);
        let capacity = model::capacity(deployment, class);
        let work = &deployment.work[class];
        let mut at = 0.0;
        loop {
            let now = Duration::from_secs_f64(at);
            let rate = capacity * work.demand * scenario.factor(deployment, class, now);
            at += exponential(&mut rng) / rate;
            if at >= scenario::LENGTH.as_secs_f64() {
                break;
            }
            all.push(draw(deployment, class, Duration::from_secs_f64(at), &mut rng));
        }
    }
    all.sort_by_key(|arrival| arrival.at);
    all
}

fn draw(
    deployment: &deployment::Deployment,
    class: usize,
    at: Duration,
    rng: &mut ChaCha8Rng,
) -> Arrival {
    let work = &deployment.work[class];
    let mut left: f64 = rng.random();
    let shares = deployment.teams.iter().position(|(_, share)| {
        left -= share;
        left < 0.0
    });
    let team = shares.unwrap_or(deployment.teams.len() - 1);
    let length = 0.25 + 0.75 * exponential(rng);
    let conversation = rng.random_range(0..CONVERSATIONS);
    let group = (class * deployment.teams.len() + team) as u64 * CONVERSATIONS + conversation;
    Arrival {
        at,
        class,
        team,
        entry: rng.random_range(0..deployment.zones.len()),
        prompt: work.prompt,
        output: (work.output * length.min(4.0)).max(1.0),
        prefix: group.wrapping_add(1).wrapping_mul(0x9E37_79B9_7F4A_7C15),
    }
}

/// An exponential variate of mean 1.
fn exponential(rng: &mut ChaCha8Rng) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln()
}
