//! Model test of requests with the same idempotency key under random schedules.
//!
//! Entries and agents crash. Calls and messages are rejected, lost before or after their effect, or
//! take effect late. Requests interleave at every step. Invariants:
//!
//! * At most one request runs.
//! * A request that was reported as not run never runs.
//! * The row is only released while nothing has run.
//! * A retry receives the response of the request that ran.

#[path = "../explore/mod.rs"]
mod explore;
mod schedule;

use std::cell;
use std::collections;

use azuregap_coordination::claim;
use azuregap_coordination::store;
use googletest::prelude::*;
use schedule::AGENTS;
use schedule::CallFate;
use schedule::Schedule;
use schedule::Step;

/// No injected bug.
const NONE: u8 = 0;
/// A lost response to a write is treated as success instead of reading the row.
const ASSUME_SUCCESS: u8 = 1;
/// An agent does not reject a request that it has reported as not run.
const FORGET_REJECTION: u8 = 2;
/// An agent accepts dispatches that are addressed to an earlier incarnation.
const ANY_INCARNATION: u8 = 3;
/// An agent that has discarded requests that it ran reports unknown ids as not run.
const FORGET_COMPLETED: u8 = 4;

/// State of a request at an agent.
#[derive(Clone, Copy, PartialEq)]
enum RequestState {
    Running,
    Done,
    Rejected,
}

#[derive(Default)]
struct Agent {
    incarnation: u64,
    busy: bool,
    /// A request that ran has been discarded.
    has_discarded: bool,
    known: collections::BTreeMap<u128, RequestState>,
}

/// What a request is waiting for.
enum Waiting {
    /// Execution of its next action.
    Action(claim::Action),
    /// Response of the agent.
    Response(claim::Target),
}

struct Request {
    id: u128,
    claim: claim::Claim,
    waiting: Waiting,
}

struct Model<const BUG: u8> {
    row: store::VersionedRow<claim::ClaimRow>,
    outage: bool,
    agents: [Agent; AGENTS],
    requests: Vec<Request>,
    delayed_writes: Vec<(u64, claim::ClaimRow)>,
    delayed_dispatches: Vec<(u128, claim::Target)>,
    started: u128,
    runs: Vec<u128>,
    not_run: Vec<u128>,
    outcomes: collections::BTreeMap<&'static str, u64>,
}

fn digest() -> claim::RequestDigest {
    claim::RequestDigest::of("POST", "/credits", "body")
}

fn response(id: u128) -> claim::StoredResponse {
    claim::StoredResponse::new(201, id.to_string())
}

type StepResult = std::result::Result<(), String>;

impl<const BUG: u8> Model<BUG> {
    fn new() -> Self {
        Self {
            row: store::VersionedRow::absent(),
            outage: false,
            agents: Default::default(),
            requests: Vec::new(),
            delayed_writes: Vec::new(),
            delayed_dispatches: Vec::new(),
            started: 0,
            runs: Vec::new(),
            not_run: Vec::new(),
            outcomes: collections::BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) -> StepResult {
        match step {
            Step::Start { agent } => self.start(agent),
            Step::Execute { request, fate } if request < self.requests.len() => {
                self.execute(request, fate)?;
            }
            Step::CrashEntry { request } if request < self.requests.len() => {
                self.requests.swap_remove(request);
            }
            Step::Execute { .. } | Step::CrashEntry { .. } => {}
            Step::CrashAgent { agent } => {
                let incarnation = self.agents[agent].incarnation + 1;
                self.agents[agent] = Agent { incarnation, ..Agent::default() };
            }
            Step::DiscardCompleted { agent } => {
                let agent = &mut self.agents[agent];
                let before = agent.known.len();
                agent.known.retain(|_, known| *known != RequestState::Done);
                agent.has_discarded |= agent.known.len() < before;
            }
            Step::Busy { agent, busy } => self.agents[agent].busy = busy,
            Step::Complete { agent } => {
                let running = self.agents[agent].known.values_mut();
                running
                    .filter(|known| **known == RequestState::Running)
                    .for_each(|k| *k = RequestState::Done);
            }
            Step::ApplyDelayedWrite => {
                if let Some((version, row)) = self.delayed_writes.pop() {
                    self.commit(version, &row)?;
                }
            }
            Step::DeliverDelayedDispatch => {
                if let Some((id, target)) = self.delayed_dispatches.pop() {
                    self.deliver(id, &target);
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
        let waiting = Waiting::Action(claim.handle(claim::Event::Start));
        self.requests.push(Request { id, claim, waiting });
    }

    /// Executes the next step of a request.
    fn execute(&mut self, index: usize, fate: CallFate) -> StepResult {
        let id = self.requests[index].id;
        let event = match &self.requests[index].waiting {
            Waiting::Response(target) => self.poll_response(id, target, fate),
            Waiting::Action(action) => match action.clone() {
                claim::Action::Read => Some(self.read(fate)),
                claim::Action::Write { version, row } => {
                    Some(claim::Event::WriteDone(self.write(version, &row, fate)?))
                }
                claim::Action::QueryStatus { request, target } => {
                    Some(claim::Event::StatusReceived(self.query_status(request, &target, fate)))
                }
                claim::Action::Dispatch(target) => self.dispatch(index, target, fate),
                claim::Action::Settled(outcome) => {
                    self.requests.swap_remove(index);
                    return self.settle(id, &outcome);
                }
                claim::Action::Pending => {
                    return Err("claim is waiting without a call in progress".to_owned());
                }
            },
        };
        if let Some(event) = event {
            let request = &mut self.requests[index];
            request.waiting = Waiting::Action(request.claim.handle(event));
        }
        Ok(())
    }

    fn read(&self, fate: CallFate) -> claim::Event {
        match fate {
            CallFate::Success if !self.outage => claim::Event::ReadDone(self.row.clone()),
            _ => claim::Event::ReadFailed,
        }
    }

    fn write(
        &mut self,
        version: u64,
        row: &claim::ClaimRow,
        fate: CallFate,
    ) -> std::result::Result<store::WriteOutcome, String> {
        let outcome = match fate {
            CallFate::Rejected => store::WriteOutcome::Refused,
            _ if self.outage => store::WriteOutcome::Unknown,
            CallFate::Success => self.commit(version, row)?,
            CallFate::LostBefore => store::WriteOutcome::Unknown,
            CallFate::LostAfter => {
                self.commit(version, row)?;
                store::WriteOutcome::Unknown
            }
            CallFate::Delayed => {
                self.delayed_writes.push((version, row.clone()));
                store::WriteOutcome::Unknown
            }
        };
        let assumed = BUG == ASSUME_SUCCESS && outcome == store::WriteOutcome::Unknown;
        Ok(if assumed { store::WriteOutcome::Applied(version + 1) } else { outcome })
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
            return Err("the row was released after a request ran".to_owned());
        }
        self.row = store::VersionedRow::new(version + 1, row.clone());
        Ok(store::WriteOutcome::Applied(version + 1))
    }

    fn agent(&mut self, target: &claim::Target) -> (&mut Agent, bool) {
        let agent = &mut self.agents[target.agent.parse::<usize>().unwrap()];
        let is_current = agent.incarnation == target.incarnation;
        (agent, is_current)
    }

    /// Delivers a dispatch to the agent. Returns whether the agent accepted it.
    fn deliver(&mut self, id: u128, target: &claim::Target) -> bool {
        let (agent, is_current) = self.agent(target);
        if agent.busy || agent.known.contains_key(&id) || !(is_current || BUG == ANY_INCARNATION) {
            return false;
        }
        agent.known.insert(id, RequestState::Running);
        self.runs.push(id);
        true
    }

    fn dispatch(
        &mut self,
        index: usize,
        target: claim::Target,
        fate: CallFate,
    ) -> Option<claim::Event> {
        let id = self.requests[index].id;
        // Another agent is available after every second rejection.
        let other = usize::from(target.agent == "0");
        let next = self.started.is_multiple_of(2).then(|| self.target(other));
        match fate {
            CallFate::Rejected => Some(claim::Event::NotRun(next)),
            CallFate::LostBefore => Some(claim::Event::Lost),
            CallFate::LostAfter => {
                self.deliver(id, &target);
                Some(claim::Event::Lost)
            }
            CallFate::Delayed => {
                self.delayed_dispatches.push((id, target));
                Some(claim::Event::Lost)
            }
            CallFate::Success if self.deliver(id, &target) => {
                let incarnation = self.agent(&target).0.incarnation;
                let target = claim::Target { incarnation, ..target };
                self.requests[index].waiting = Waiting::Response(target);
                None
            }
            CallFate::Success => Some(claim::Event::NotRun(next)),
        }
    }

    /// The response of the agent to an accepted dispatch, if it is available.
    fn poll_response(
        &self,
        id: u128,
        target: &claim::Target,
        fate: CallFate,
    ) -> Option<claim::Event> {
        let agent = &self.agents[target.agent.parse::<usize>().unwrap()];
        match agent.known.get(&id) {
            _ if agent.incarnation != target.incarnation => Some(claim::Event::Lost),
            Some(RequestState::Done) if fate == CallFate::Success => {
                Some(claim::Event::Finished(response(id)))
            }
            Some(RequestState::Done) | None => Some(claim::Event::Lost),
            _ => None,
        }
    }

    fn query_status(
        &mut self,
        request: u128,
        target: &claim::Target,
        fate: CallFate,
    ) -> claim::RequestStatus {
        if fate != CallFate::Success {
            return claim::RequestStatus::Unknown;
        }
        let (agent, is_current) = self.agent(target);
        match agent.known.get(&request) {
            _ if !is_current => claim::RequestStatus::IncarnationGone,
            Some(RequestState::Running) => claim::RequestStatus::Running,
            Some(RequestState::Done) => claim::RequestStatus::Done(response(request)),
            Some(RequestState::Rejected) => claim::RequestStatus::NotRun,
            None if agent.has_discarded && BUG != FORGET_COMPLETED => claim::RequestStatus::Unknown,
            None => {
                if BUG != FORGET_REJECTION {
                    agent.known.insert(request, RequestState::Rejected);
                }
                claim::RequestStatus::NotRun
            }
        }
    }

    fn settle(&mut self, id: u128, outcome: &claim::Outcome) -> StepResult {
        let (name, holds) = match outcome {
            claim::Outcome::Ran { .. } => ("ran", self.runs.contains(&id)),
            claim::Outcome::Replayed(replayed) => {
                ("replayed", self.runs.first().is_some_and(|&run| *replayed == response(run)))
            }
            claim::Outcome::Running => ("running", true),
            claim::Outcome::Unknown => ("outcome unknown", true),
            claim::Outcome::KeyReused => ("key reused", false),
            claim::Outcome::NotRun(_) | claim::Outcome::NotAttempted(_) => {
                self.not_run.push(id);
                ("not run", true)
            }
        };
        *self.outcomes.entry(name).or_default() += 1;
        if holds { Ok(()) } else { Err(format!("wrong outcome: {name}")) }
    }

    fn check(&self) -> StepResult {
        if self.runs.len() > 1 {
            return Err("two requests ran".to_owned());
        }
        if self.runs.iter().any(|run| self.not_run.contains(run)) {
            return Err("a request that was reported as not run has run".to_owned());
        }
        Ok(())
    }
}

type Outcomes = collections::BTreeMap<&'static str, u64>;

/// Runs `cases` schedules. Returns how often each outcome occurred, or the first violated invariant
/// with the shortest schedule that violates it.
fn explore<const BUG: u8>(cases: u32) -> std::result::Result<Outcomes, String> {
    let outcomes = cell::RefCell::new(Outcomes::new());
    let end = |model: Model<BUG>| {
        let mut sum = outcomes.borrow_mut();
        *sum.entry("runs").or_default() += model.runs.len() as u64;
        model.outcomes.iter().for_each(|(name, count)| *sum.entry(name).or_default() += count);
    };
    explore::explore::<Schedule, _>(cases, 60..150, Model::<BUG>::new, Model::step, end)?;
    Ok(outcomes.into_inner())
}

#[gtest]
fn at_most_one_request_runs_in_2000_schedules() {
    let outcomes = explore::<NONE>(2000);
    insta::assert_debug_snapshot!(outcomes);
    expect_that!(outcomes.is_ok(), eq(true));
}

#[gtest]
fn detects_lost_response_taken_for_success() {
    expect_that!(explore::<ASSUME_SUCCESS>(2000), err(anything()));
}

#[gtest]
fn detects_agent_that_runs_a_request_reported_as_not_run() {
    expect_that!(explore::<FORGET_REJECTION>(2000), err(contains_substring("two requests ran")));
}

#[gtest]
fn detects_dispatch_to_another_incarnation() {
    expect_that!(explore::<ANY_INCARNATION>(2000), err(contains_substring("two requests ran")));
}

#[gtest]
fn detects_agent_that_reports_a_discarded_request_as_not_run() {
    expect_that!(explore::<FORGET_COMPLETED>(2000), err(contains_substring("two requests ran")));
}
