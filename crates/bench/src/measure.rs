//! What is measured of a simulation.

use std::time::Duration;

use serde::Serialize;

use crate::deployment;
use crate::model;
use crate::scenario;
use crate::system;
use crate::workload;

/// The measures of one system under one scenario.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct Measure {
    /// Deployment.
    pub deployment: &'static str,
    /// Scenario.
    pub scenario: scenario::Scenario,
    /// System.
    pub system: &'static str,
    /// Each class.
    pub classes: Vec<ClassMeasure>,
    /// Output tokens a second of the model's answers that met their targets.
    pub goodput: f64,
    /// Share of all tokens read and generated that served no whole answer.
    pub wasted_share: f64,
    /// Tokens of the worst-served team against the best, each over its max-min fair share, over
    /// all classes of the model.
    pub team_ratio: f64,
    /// Share of looked-up prompt prefixes that were cached.
    pub hit_share: f64,
}

/// The measures of one class, over the requests that came in the scenario's main part.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub struct ClassMeasure {
    /// Name.
    pub name: String,
    /// Tier.
    pub tier: u8,
    /// Requests.
    pub requests: usize,
    /// Share of requests whose answer was whole and met both targets.
    pub attained: f64,
    /// Share of requests that were refused.
    pub refused: f64,
    /// Share of requests whose answer broke off or came too late.
    pub failed: f64,
    /// Time to the first token that 95 in 100 whole answers met, in milliseconds.
    pub first_ms: f64,
    /// Mean time between tokens that 95 in 100 whole answers met, in milliseconds.
    pub gap_ms: f64,
    /// Share of the pool's dispatches.
    pub dispatched: f64,
    /// Floor of the class as a share.
    pub floor: f64,
    /// Whole dispatches under the floor at the agent where that is worst.
    pub floor_missed: f64,
    /// Tokens of the worst-served team against the best, each over its max-min fair share.
    pub team_ratio: f64,
}

impl Measure {
    /// Measures what came of a simulation.
    #[must_use]
    pub fn of(
        deployment: &deployment::Deployment,
        scenario: scenario::Scenario,
        system: system::System,
        arrivals: &[workload::Arrival],
        outcome: &model::Outcome,
    ) -> Self {
        let seen = Seen { deployment, arrivals, outcome };
        let classes = (0..deployment.work.len()).map(|class| seen.class(class)).collect();
        Self {
            deployment: deployment.name,
            scenario,
            system: system.name,
            classes,
            goodput: seen.goodput(),
            wasted_share: seen.wasted_share(),
            team_ratio: seen.team_ratio(),
            hit_share: outcome.hits as f64 / outcome.lookups.max(1) as f64,
        }
    }

    /// The class of the model pool with the highest tier.
    #[must_use]
    pub fn top(&self) -> &ClassMeasure {
        &self.classes[0]
    }

    /// The class of the model pool with the lowest tier.
    #[must_use]
    pub fn lowest(&self) -> &ClassMeasure {
        &self.classes[1]
    }
}

/// A simulation with what it was run on.
struct Seen<'a> {
    deployment: &'a deployment::Deployment,
    arrivals: &'a [workload::Arrival],
    outcome: &'a model::Outcome,
}

impl Seen<'_> {
    /// Requests of a class that came in the main part.
    fn requests(
        &self,
        class: usize,
    ) -> impl Iterator<Item = (&workload::Arrival, &model::Request)> {
        let all = self.arrivals.iter().zip(&self.outcome.requests);
        all.filter(move |(arrival, _)| arrival.class == class && is_main(arrival.at))
    }

    fn class(&self, class: usize) -> ClassMeasure {
        let work = &self.deployment.work[class];
        let all: Vec<_> = self.requests(class).collect();
        let share = |count: usize| count as f64 / all.len().max(1) as f64;
        let state = |state| share(all.iter().filter(|(_, seen)| seen.state == state).count());
        let whole = || all.iter().filter(|(_, seen)| seen.state == model::State::Whole);
        let firsts = whole().filter_map(|(_, seen)| seen.first);
        let floor = f64::from(work.class.floor_percent) / 100.0;
        ClassMeasure {
            name: work.class.name.clone(),
            tier: work.class.tier,
            requests: all.len(),
            attained: share(all.iter().filter(|(at, seen)| self.attains(at, seen)).count()),
            refused: state(model::State::Refused),
            failed: state(model::State::Failed),
            first_ms: percentile(firsts.map(|first| first.as_secs_f64() * 1e3)),
            gap_ms: percentile(whole().map(|(at, seen)| gap(at, seen).as_secs_f64() * 1e3)),
            dispatched: self.dispatched(class),
            floor,
            floor_missed: self.floor_missed(class, floor),
            team_ratio: worst_to_best(&self.served(class)),
        }
    }

    /// Whether the answer is whole and met both targets.
    fn attains(&self, arrival: &workload::Arrival, seen: &model::Request) -> bool {
        let class = &self.deployment.work[arrival.class].class;
        seen.state == model::State::Whole
            && seen.first.is_some_and(|first| first <= class.first_token)
            && gap(arrival, seen) <= class.token_gap
    }

    fn goodput(&self) -> f64 {
        let classes = self.deployment.model_classes();
        let requests = classes.into_iter().flat_map(|class| self.requests(class));
        let good = requests.filter(|(arrival, seen)| self.attains(arrival, seen));
        let tokens: f64 = good.map(|(arrival, _)| arrival.output).sum();
        tokens / (scenario::UNTIL - scenario::FROM).as_secs_f64()
    }

    fn wasted_share(&self) -> f64 {
        let model = |arrival: &workload::Arrival| self.deployment.work[arrival.class].pool == 0;
        let all = self.arrivals.iter().zip(&self.outcome.requests);
        let (mut spent, mut useful) = (0.0, 0.0);
        for (arrival, seen) in all.filter(|(arrival, _)| model(arrival)) {
            spent += seen.spent;
            if seen.state == model::State::Whole {
                useful += arrival.prompt + arrival.output;
            }
        }
        1.0 - useful / f64::max(spent, 1.0)
    }

    /// Dispatches of the class in the main part, and of all classes, at each agent.
    fn dispatches(&self, class: usize) -> impl Iterator<Item = (f64, f64)> {
        self.outcome.dispatches.iter().map(move |log| {
            let main = log.iter().filter(|dispatch| is_main(dispatch.at));
            let own = main.clone().filter(|dispatch| dispatch.class == class);
            (own.count() as f64, main.count() as f64)
        })
    }

    /// Share of the pool's dispatches.
    fn dispatched(&self, class: usize) -> f64 {
        let sum = |(own, all), (more_own, more_all)| (own + more_own, all + more_all);
        let (own, all) = self.dispatches(class).fold((0.0, 0.0), sum);
        own / f64::max(all, 1.0)
    }

    /// Whole dispatches under the floor at the agent where that is worst.
    fn floor_missed(&self, class: usize, floor: f64) -> f64 {
        let missed = self.dispatches(class).map(|(own, all)| (all * floor).floor() - own);
        missed.fold(0.0, f64::max)
    }

    /// Tokens that each team was served in whole answers of a class, and its max-min fair share.
    fn served(&self, class: usize) -> Vec<(f64, f64)> {
        let teams = self.deployment.teams.len();
        let (mut asked, mut served) = (vec![0.0; teams], vec![0.0; teams]);
        for (arrival, seen) in self.requests(class) {
            let tokens = arrival.prompt + arrival.output;
            asked[arrival.team] += tokens;
            if seen.state == model::State::Whole {
                served[arrival.team] += tokens;
            }
        }
        let fair = fair_shares(&asked, served.iter().sum());
        served.into_iter().zip(fair).collect()
    }

    /// The worst-served team against the best over all classes of the model.
    fn team_ratio(&self) -> f64 {
        let mut teams = vec![(0.0, 0.0); self.deployment.teams.len()];
        for class in self.deployment.model_classes() {
            for (team, (served, fair)) in teams.iter_mut().zip(self.served(class)) {
                team.0 += served;
                team.1 += fair;
            }
        }
        worst_to_best(&teams)
    }
}

/// The lowest of served over fair against the highest.
fn worst_to_best(teams: &[(f64, f64)]) -> f64 {
    let ratios = teams.iter().filter(|(_, fair)| *fair > 0.0).map(|(served, fair)| served / fair);
    let best = ratios.clone().fold(f64::MIN_POSITIVE, f64::max);
    ratios.fold(best, f64::min) / best
}

/// Max-min fair shares of `total` among teams of equal weight that ask for this much.
#[must_use]
pub fn fair_shares(asked: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..asked.len()).collect();
    order.sort_by(|a, b| asked[*a].total_cmp(&asked[*b]));
    let (mut shares, mut left) = (vec![0.0; asked.len()], total);
    for (done, team) in order.into_iter().enumerate() {
        let even = left / (asked.len() - done) as f64;
        shares[team] = asked[team].min(even);
        left -= shares[team];
    }
    shares
}

fn is_main(at: Duration) -> bool {
    (scenario::FROM..scenario::UNTIL).contains(&at)
}

/// Mean time between two tokens of an answer.
fn gap(arrival: &workload::Arrival, seen: &model::Request) -> Duration {
    let (Some(first), Some(end)) = (seen.first, seen.end) else { return Duration::ZERO };
    (end - first).div_f64((arrival.output - 1.0).max(1.0))
}

/// The value that 95 in 100 do not exceed.
fn percentile(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    let at = (values.len() * 95).div_ceil(100).saturating_sub(1);
    values.get(at).copied().unwrap_or(0.0)
}
