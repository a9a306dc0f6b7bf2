//! Random schedules over requests that carry one idempotency key.
//!
//! Entries and agents crash, calls and messages are refused, lost before or after their effect, or
//! take effect late, and requests overtake each other at every step. The invariants: at most one
//! request runs; a request that was said not to have run never runs; the row is released only
//! while nothing has run; a repeat gets the answer of the one run.

#[path = "../explore/mod.rs"]
mod explore;
mod schedule;

use std::cell;
use std::collections;

use azuregap_coordination::claim;
use azuregap_coordination::store;
use googletest::prelude::*;
use schedule::AGENTS;
use schedule::Fate;
use schedule::Schedule;
use schedule::Step;

/// No planted bug.
const NONE: u8 = 0;
/// A lost answer of a write is taken for success instead of being looked up.
const GUESS: u8 = 1;
/// An agent that says "not run" does not refuse the request later.
const FORGETS_REFUSAL: u8 = 2;
/// An agent takes a dispatch that was addressed to an earlier incarnation.
const ANY_INCARNATION: u8 = 3;

/// An agent that forgot what it ran says "not run" of what it does not know.
const FORGETS_RUN: u8 = 4;

/// What an agent knows of a request.
#[derive(Clone, Copy, PartialEq)]
enum Known {
    Running,
    Done,
    Refused,
}

#[derive(Default)]
struct Agent {
    incarnation: u64,
    busy: bool,
    /// A request that ran was forgotten.
    forgot: bool,
    known: collections::BTreeMap<u128, Known>,
}

/// What a request waits for.
enum Waits {
    /// Its action has not been carried out yet.
    Action(claim::Action),
    /// The agent has it.
    Answer(claim::Target),
}

struct Request {
    id: u128,
    claim: claim::Claim,
    waits: Waits,
}

struct World<const BUG: u8> {
    row: store::VersionedRow<claim::ClaimRow>,
    outage: bool,
    agents: [Agent; AGENTS],
    requests: Vec<Request>,
    lingering: Vec<(u64, claim::ClaimRow)>,
    in_flight: Vec<(u128, claim::Target)>,
    started: u128,
    runs: Vec<u128>,
    not_run: Vec<u128>,
    verdicts: collections::BTreeMap<&'static str, u64>,
}

fn digest() -> claim::RequestDigest {
    claim::RequestDigest::of("POST", "/credits", "body")
}

fn answer(id: u128) -> claim::StoredResponse {
    claim::StoredResponse::new(201, id.to_string())
}

type Checked = std::result::Result<(), String>;

impl<const BUG: u8> World<BUG> {
    fn new() -> Self {
        Self {
            row: store::VersionedRow::absent(),
            outage: false,
            agents: Default::default(),
            requests: Vec::new(),
            lingering: Vec::new(),
            in_flight: Vec::new(),
            started: 0,
            runs: Vec::new(),
            not_run: Vec::new(),
            verdicts: collections::BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) -> Checked {
        match step {
            Step::Start { agent } => self.start(agent),
            Step::Act { request, fate } if request < self.requests.len() => {
                self.act(request, fate)?;
            }
            Step::CrashEntry { request } if request < self.requests.len() => {
                self.requests.swap_remove(request);
            }
            Step::Act { .. } | Step::CrashEntry { .. } => {}
            Step::CrashAgent { agent } => {
                let incarnation = self.agents[agent].incarnation + 1;
                self.agents[agent] = Agent { incarnation, ..Agent::default() };
            }
            Step::Forget { agent } => {
                let agent = &mut self.agents[agent];
                let before = agent.known.len();
                agent.known.retain(|_, known| *known != Known::Done);
                agent.forgot |= agent.known.len() < before;
            }
            Step::Busy { agent, busy } => self.agents[agent].busy = busy,
            Step::Complete { agent } => {
                let running = self.agents[agent].known.values_mut();
                running.filter(|known| **known == Known::Running).for_each(|k| *k = Known::Done);
            }
            Step::LandWrite => {
                if let Some((version, row)) = self.lingering.pop() {
                    self.commit(version, &row)?;
                }
            }
            Step::LandDispatch => {
                if let Some((id, target)) = self.in_flight.pop() {
                    self.arrive(id, &target);
                }
            }
            Step::Outage(outage) => self.outage = outage,
        }
        self.check()
    }

    fn target(&self, agent: usize) -> claim::Target {
        claim::Target::new(agent.to_string(), self.agents[agent].incarnation)
    }

    fn start(&mut self, agent: usize) {
        self.started += 1;
        let id = self.started;
        let mut claim = claim::Claim::new(id, digest(), self.target(agent));
        let waits = Waits::Action(claim.handle(claim::Event::Start));
        self.requests.push(Request { id, claim, waits });
    }

    /// A request does its next step.
    fn act(&mut self, index: usize, fate: Fate) -> Checked {
        let id = self.requests[index].id;
        let event = match &self.requests[index].waits {
            Waits::Answer(target) => self.answered(id, target, fate),
            Waits::Action(action) => match action.clone() {
                claim::Action::Read => Some(self.read(fate)),
                claim::Action::Write { version, row } => {
                    Some(claim::Event::WriteDone(self.write(version, &row, fate)?))
                }
                claim::Action::QueryStatus { request, target } => {
                    Some(claim::Event::StatusReceived(self.ask(request, &target, fate)))
                }
                claim::Action::Dispatch(target) => self.dispatch(index, target, fate),
                claim::Action::Settled(verdict) => {
                    self.requests.swap_remove(index);
                    return self.settle(id, &verdict);
                }
                claim::Action::Pending => return Err("nothing to do".to_owned()),
            },
        };
        if let Some(event) = event {
            let request = &mut self.requests[index];
            request.waits = Waits::Action(request.claim.handle(event));
        }
        Ok(())
    }

    fn read(&self, fate: Fate) -> claim::Event {
        match fate {
            Fate::Good if !self.outage => claim::Event::ReadDone(self.row.clone()),
            _ => claim::Event::ReadFailed,
        }
    }

    fn write(
        &mut self,
        version: u64,
        row: &claim::ClaimRow,
        fate: Fate,
    ) -> std::result::Result<store::WriteOutcome, String> {
        let outcome = match fate {
            Fate::Refused => store::WriteOutcome::Refused,
            _ if self.outage => store::WriteOutcome::Unknown,
            Fate::Good => self.commit(version, row)?,
            Fate::LostBefore => store::WriteOutcome::Unknown,
            Fate::LostAfter => {
                self.commit(version, row)?;
                store::WriteOutcome::Unknown
            }
            Fate::Lingers => {
                self.lingering.push((version, row.clone()));
                store::WriteOutcome::Unknown
            }
        };
        let guessed = BUG == GUESS && outcome == store::WriteOutcome::Unknown;
        Ok(if guessed { store::WriteOutcome::Applied(version + 1) } else { outcome })
    }

    fn commit(
        &mut self,
        version: u64,
        row: &claim::ClaimRow,
    ) -> std::result::Result<store::WriteOutcome, String> {
        if version != self.row.version {
            return Ok(store::WriteOutcome::Conflict);
        }
        if row.state == claim::ClaimState::Released && !self.runs.is_empty() {
            return Err("released although a request ran".to_owned());
        }
        self.row = store::VersionedRow::new(version + 1, row.clone());
        Ok(store::WriteOutcome::Applied(version + 1))
    }

    fn agent(&mut self, target: &claim::Target) -> (&mut Agent, bool) {
        let agent = &mut self.agents[target.agent.parse::<usize>().unwrap()];
        let same = agent.incarnation == target.incarnation;
        (agent, same)
    }

    /// A dispatch reaches the agent; whether it took it.
    fn arrive(&mut self, id: u128, target: &claim::Target) -> bool {
        let (agent, same) = self.agent(target);
        if agent.busy || agent.known.contains_key(&id) || !(same || BUG == ANY_INCARNATION) {
            return false;
        }
        agent.known.insert(id, Known::Running);
        self.runs.push(id);
        true
    }

    fn dispatch(
        &mut self,
        index: usize,
        target: claim::Target,
        fate: Fate,
    ) -> Option<claim::Event> {
        let id = self.requests[index].id;
        // Another agent is tried after every other refusal.
        let other = usize::from(target.agent == "0");
        let next = self.started.is_multiple_of(2).then(|| self.target(other));
        match fate {
            Fate::Refused => Some(claim::Event::NotRun(next)),
            Fate::LostBefore => Some(claim::Event::Lost),
            Fate::LostAfter => {
                self.arrive(id, &target);
                Some(claim::Event::Lost)
            }
            Fate::Lingers => {
                self.in_flight.push((id, target));
                Some(claim::Event::Lost)
            }
            Fate::Good if self.arrive(id, &target) => {
                let incarnation = self.agent(&target).0.incarnation;
                let target = claim::Target { incarnation, ..target };
                self.requests[index].waits = Waits::Answer(target);
                None
            }
            Fate::Good => Some(claim::Event::NotRun(next)),
        }
    }

    /// The agent's answer to a dispatch that it took, if there is one by now.
    fn answered(&self, id: u128, target: &claim::Target, fate: Fate) -> Option<claim::Event> {
        let agent = &self.agents[target.agent.parse::<usize>().unwrap()];
        match agent.known.get(&id) {
            _ if agent.incarnation != target.incarnation => Some(claim::Event::Lost),
            Some(Known::Done) if fate == Fate::Good => Some(claim::Event::Finished(answer(id))),
            Some(Known::Done) | None => Some(claim::Event::Lost),
            _ => None,
        }
    }

    fn ask(&mut self, request: u128, target: &claim::Target, fate: Fate) -> claim::RequestStatus {
        if fate != Fate::Good {
            return claim::RequestStatus::Unknown;
        }
        let (agent, same) = self.agent(target);
        match agent.known.get(&request) {
            _ if !same => claim::RequestStatus::IncarnationGone,
            Some(Known::Running) => claim::RequestStatus::Running,
            Some(Known::Done) => claim::RequestStatus::Done(answer(request)),
            Some(Known::Refused) => claim::RequestStatus::NotRun,
            None if agent.forgot && BUG != FORGETS_RUN => claim::RequestStatus::Unknown,
            None => {
                if BUG != FORGETS_REFUSAL {
                    agent.known.insert(request, Known::Refused);
                }
                claim::RequestStatus::NotRun
            }
        }
    }

    fn settle(&mut self, id: u128, verdict: &claim::Outcome) -> Checked {
        let (name, holds) = match verdict {
            claim::Outcome::Ran { .. } => ("ran", self.runs.contains(&id)),
            claim::Outcome::Replayed(answer_given) => {
                ("repeated", self.runs.first().is_some_and(|&run| *answer_given == answer(run)))
            }
            claim::Outcome::Running => ("running", true),
            claim::Outcome::Unknown => ("outcome unknown", true),
            claim::Outcome::KeyReused => ("key reused", false),
            claim::Outcome::NotRun(_) | claim::Outcome::NotAttempted(_) => {
                self.not_run.push(id);
                ("not run", true)
            }
        };
        *self.verdicts.entry(name).or_default() += 1;
        if holds { Ok(()) } else { Err(format!("untrue: {name}")) }
    }

    fn check(&self) -> Checked {
        if self.runs.len() > 1 {
            return Err("two requests ran".to_owned());
        }
        if self.runs.iter().any(|run| self.not_run.contains(run)) {
            return Err("a request ran that was said not to have run".to_owned());
        }
        Ok(())
    }
}

type Verdicts = collections::BTreeMap<&'static str, u64>;

/// Runs `cases` schedules; the first broken invariant with the shortest schedule that breaks it,
/// or how often each verdict was given.
fn explore<const BUG: u8>(cases: u32) -> std::result::Result<Verdicts, String> {
    let verdicts = cell::RefCell::new(Verdicts::new());
    let end = |world: World<BUG>| {
        let mut sum = verdicts.borrow_mut();
        *sum.entry("runs").or_default() += world.runs.len() as u64;
        world.verdicts.iter().for_each(|(name, count)| *sum.entry(name).or_default() += count);
    };
    explore::explore::<Schedule, _>(cases, 60..150, World::<BUG>::new, World::step, end)?;
    Ok(verdicts.into_inner())
}

#[gtest]
fn at_most_one_run_over_two_thousand_schedules() {
    let verdicts = explore::<NONE>(2000);
    insta::assert_debug_snapshot!(verdicts);
    expect_that!(verdicts.is_ok(), eq(true));
}

#[gtest]
fn a_guess_after_a_lost_answer_is_found() {
    expect_that!(explore::<GUESS>(2000), err(anything()));
}

#[gtest]
fn an_agent_that_forgets_what_it_said_is_found() {
    expect_that!(explore::<FORGETS_REFUSAL>(2000), err(contains_substring("two requests ran")));
}

#[gtest]
fn a_dispatch_to_another_incarnation_is_found() {
    expect_that!(explore::<ANY_INCARNATION>(2000), err(contains_substring("two requests ran")));
}

#[gtest]
fn an_agent_that_forgets_what_it_ran_is_found() {
    expect_that!(explore::<FORGETS_RUN>(2000), err(contains_substring("two requests ran")));
}
