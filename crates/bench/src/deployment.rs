//! The two deployments at their sizes of today.

use std::time::Duration;

use azuregap_core::ids;
use azuregap_core::intent;

/// A class with the shape of its requests.
#[derive(Clone, Debug)]
pub struct Work {
    /// The class as operators declare it.
    pub class: intent::Class,
    /// Position of its pool in the deployment.
    pub pool: usize,
    /// Share of its pool's capacity that it asks for at normal load.
    pub demand: f64,
    /// Prompt length in tokens.
    pub prompt: f64,
    /// Mean output length in tokens; for a plain service, mean service time in milliseconds.
    pub output: f64,
    /// Whether a request may be run more than once.
    pub idempotent: bool,
}

/// A pool of replicas over three availability zones.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Name of the model or service.
    pub name: ids::PoolId,
    /// Replicas.
    pub replicas: usize,
    /// Requests that one replica runs at once.
    pub slots: u32,
    /// Requests that may wait at one replica.
    pub waiting: u32,
    /// Whether the replicas are model engines.
    pub model: bool,
}

/// A deployment: zones, pools, classes and teams.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Name.
    pub name: &'static str,
    /// Availability zones; there is one entry in each.
    pub zones: [&'static str; 3],
    /// Pools; the first is the model that the scenarios put under load.
    pub pools: Vec<Pool>,
    /// Classes of work.
    pub work: Vec<Work>,
    /// Teams with their share of the demand, all of weight 1.
    pub teams: Vec<(ids::TeamId, f64)>,
}

impl Deployment {
    /// The classes of the first pool, highest tier first.
    #[must_use]
    pub fn model_classes(&self) -> Vec<usize> {
        let mut classes: Vec<usize> =
            (0..self.work.len()).filter(|i| self.work[*i].pool == 0).collect();
        classes.sort_by_key(|i| self.work[*i].class.tier);
        classes
    }
}

/// Swan Coastal Water Authority: summaries rank above chat; account lookups and credits beside.
#[must_use]
pub fn swan_coastal() -> Deployment {
    Deployment {
        name: "swan-coastal",
        zones: ["perth-north", "perth-east", "perth-south"],
        pools: vec![model_pool("advisor-model", 9), plain_pool("billing-app", 3)],
        work: vec![
            model_work("summary", 0, 20, 1800.0, 220.0),
            model_work("chat", 1, 15, 900.0, 140.0),
            plain_work("lookup", true, 30.0),
            plain_work("credit", false, 80.0),
        ],
        teams: teams(),
    }
}

/// Hasicská akademie Vltava: scenarios rank above coaching; roster lookups and certification.
#[must_use]
pub fn academy() -> Deployment {
    Deployment {
        name: "academy",
        zones: ["praha-a", "praha-b", "kladno-c"],
        pools: vec![model_pool("scenario-llm", 12), plain_pool("marshal-registry", 3)],
        work: vec![
            model_work("scenario", 0, 20, 1200.0, 260.0),
            model_work("coaching", 1, 15, 700.0, 120.0),
            plain_work("roster", true, 25.0),
            plain_work("certification", false, 90.0),
        ],
        teams: teams(),
    }
}

fn model_pool(name: &str, replicas: usize) -> Pool {
    Pool { name: name.to_owned(), replicas, slots: 16, waiting: 64, model: true }
}

fn plain_pool(name: &str, replicas: usize) -> Pool {
    Pool { name: name.to_owned(), replicas, slots: 4, waiting: 64, model: false }
}

fn model_work(name: &str, tier: ids::Tier, floor: u8, prompt: f64, output: f64) -> Work {
    let first_token = Duration::from_millis(if tier == 0 { 1100 } else { 2500 });
    let token_gap = Duration::from_millis(if tier == 0 { 27 } else { 40 });
    let class = intent::Class {
        name: name.to_owned(),
        tier,
        first_token,
        token_gap,
        floor_percent: floor,
        deadline: Duration::from_secs(60),
    };
    Work { class, pool: 0, demand: 0.35, prompt, output, idempotent: true }
}

fn plain_work(name: &str, idempotent: bool, service: f64) -> Work {
    let class = intent::Class {
        name: name.to_owned(),
        tier: 0,
        first_token: Duration::from_millis(500),
        token_gap: Duration::from_millis(500),
        floor_percent: 0,
        deadline: Duration::from_secs(10),
    };
    Work { class, pool: 1, demand: 0.1, prompt: 0.0, output: service, idempotent }
}

/// Ten teams: three large ones with a fifth of the demand each, seven small ones.
fn teams() -> Vec<(ids::TeamId, f64)> {
    let share = |i| if i < 3 { 0.2 } else { 0.4 / 7.0 };
    (0..10).map(|i| (format!("team-{i}"), share(i))).collect()
}
