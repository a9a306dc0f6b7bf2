//! The state machine of one request with an idempotency key.

use crate::claim;
use crate::claim::phase;
use crate::ids;
use crate::store;

/// Calls to the table service without a result in a row after which a claim gives up.
const MAX_FAILURES: u32 = 4;

/// Calls to the table service after which a claim gives up even if all were answered.
const MAX_CALLS: u32 = 16;

/// One request with an idempotency key; see the [module](crate::claim) for promise and limits.
///
/// The caller carries one call at a time and paces repeated calls itself.
#[derive(Clone, Debug)]
pub struct Claim {
    request: ids::RequestId,
    digest: claim::RequestDigest,
    target: claim::Target,
    attempt: u32,
    phase: phase::Phase,
    failures: u32,
    calls: u32,
}

impl Claim {
    /// The claim of `request`, drawn at random for this very call, to be run by `target`.
    #[must_use]
    pub fn new(
        request: ids::RequestId,
        digest: claim::RequestDigest,
        target: claim::Target,
    ) -> Self {
        let phase = phase::Phase::Claiming;
        Self { request, digest, target, attempt: 1, phase, failures: 0, calls: 0 }
    }

    /// Takes in what happened and tells what to do next.
    pub fn handle(&mut self, event: claim::Event) -> claim::Action {
        match event {
            claim::Event::Start => self.write(0),
            claim::Event::ReadDone(stored) => self.on_read(stored),
            claim::Event::ReadFailed => self.on_failure(),
            claim::Event::WriteDone(outcome) => self.on_wrote(outcome),
            claim::Event::Finished(answer) => self.on_finished(answer),
            claim::Event::NotRun(next) => self.on_not_run(next),
            claim::Event::Lost => self.on_lost(),
            claim::Event::StatusReceived(reply) => self.on_asked(reply),
        }
    }

    /// A write was answered, or not.
    fn on_wrote(&mut self, outcome: store::WriteOutcome) -> claim::Action {
        match outcome {
            store::WriteOutcome::Applied(version) => self.on_applied(version),
            store::WriteOutcome::Conflict => self.read(),
            store::WriteOutcome::Refused | store::WriteOutcome::Unknown => self.on_failure(),
        }
    }

    /// Our write is in the row.
    fn on_applied(&mut self, version: ids::RowVersion) -> claim::Action {
        self.failures = 0;
        match self.phase.clone() {
            phase::Phase::Claiming => self.dispatch(version),
            phase::Phase::StoringOther(answer) => self.settle(claim::Outcome::Replayed(answer)),
            phase::Phase::Storing(_) => self.settle(claim::Outcome::Ran { stored: true }),
            phase::Phase::Releasing(why) => self.settle(claim::Outcome::NotRun(why)),
            phase::Phase::MarkingOther | phase::Phase::Marking => {
                self.settle(claim::Outcome::Unknown)
            }
            phase::Phase::Asking { .. }
            | phase::Phase::Dispatched { .. }
            | phase::Phase::Settled(_) => claim::Action::Pending,
        }
    }

    /// A call gave no result: read what the row holds, a few times, then give up.
    fn on_failure(&mut self) -> claim::Action {
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return self.read();
        }
        self.give_up()
    }

    /// The table service gives no results; say no more than what is certain.
    fn give_up(&mut self) -> claim::Action {
        let verdict = match self.phase.clone() {
            phase::Phase::Claiming | phase::Phase::Releasing(_) => {
                claim::Outcome::NotAttempted(claim::NotRunReason::StoreUnavailable)
            }
            phase::Phase::StoringOther(answer) => claim::Outcome::Replayed(answer),
            phase::Phase::Storing(_) => claim::Outcome::Ran { stored: false },
            phase::Phase::Settled(verdict) => verdict,
            phase::Phase::Asking { .. }
            | phase::Phase::MarkingOther
            | phase::Phase::Dispatched { .. }
            | phase::Phase::Marking => claim::Outcome::Unknown,
        };
        self.settle(verdict)
    }

    /// The row was read.
    fn on_read(&mut self, stored: store::VersionedRow<claim::ClaimRow>) -> claim::Action {
        if self.calls >= MAX_CALLS {
            return self.give_up();
        }
        self.failures = 0;
        let Some(row) = stored.value else { return self.on_absent() };
        if row.request == self.request {
            return self.on_own(stored.version, &row);
        }
        match self.phase.clone() {
            phase::Phase::StoringOther(answer) => self.settle(claim::Outcome::Replayed(answer)),
            // The claim is taken only from a request that its agent refuses for good.
            phase::Phase::Storing(_) => self.settle(claim::Outcome::Ran { stored: false }),
            phase::Phase::Marking => self.settle(claim::Outcome::Unknown),
            _ => self.on_other(stored.version, row),
        }
    }

    /// The row is not there.
    fn on_absent(&mut self) -> claim::Action {
        match self.phase.clone() {
            phase::Phase::StoringOther(answer) => self.settle(claim::Outcome::Replayed(answer)),
            phase::Phase::MarkingOther => self.settle(claim::Outcome::Unknown),
            _ => self.write(0),
        }
    }

    /// The row is ours.
    fn on_own(&mut self, version: ids::RowVersion, row: &claim::ClaimRow) -> claim::Action {
        if matches!(self.phase, phase::Phase::MarkingOther) {
            // An earlier attempt to take the claim was applied after all.
            self.phase = phase::Phase::Claiming;
        }
        match (&row.state, &self.phase) {
            (claim::ClaimState::Done(_), _) => self.settle(claim::Outcome::Ran { stored: true }),
            (claim::ClaimState::Running, phase::Phase::Claiming) if self.is_written(row) => {
                self.dispatch(version)
            }
            (claim::ClaimState::Unknown, phase::Phase::Claiming) => {
                self.phase = phase::Phase::Releasing(claim::NotRunReason::MarkedUnknown);
                self.write(version)
            }
            (claim::ClaimState::Unknown, phase::Phase::Marking) => {
                self.settle(claim::Outcome::Unknown)
            }
            (claim::ClaimState::Released, phase::Phase::Releasing(why)) => {
                self.settle(claim::Outcome::NotRun(*why))
            }
            _ => self.write(version),
        }
    }

    /// Whether the row names the agent of the present attempt.
    fn is_written(&self, row: &claim::ClaimRow) -> bool {
        row.attempt == self.attempt && row.target == self.target
    }

    /// The row is that of an earlier request.
    fn on_other(&mut self, version: ids::RowVersion, row: claim::ClaimRow) -> claim::Action {
        if row.digest != self.digest {
            return self.settle(claim::Outcome::KeyReused);
        }
        match row.state.clone() {
            claim::ClaimState::Done(answer) => self.settle(claim::Outcome::Replayed(answer)),
            claim::ClaimState::Unknown => self.settle(claim::Outcome::Unknown),
            claim::ClaimState::Released => {
                self.phase = phase::Phase::Claiming;
                self.write(version)
            }
            claim::ClaimState::Running => {
                let (request, target) = (row.request, row.target.clone());
                self.phase = phase::Phase::Asking { version, row };
                claim::Action::QueryStatus { request, target }
            }
        }
    }

    /// The agent told of the earlier request.
    fn on_asked(&mut self, reply: claim::RequestStatus) -> claim::Action {
        let phase::Phase::Asking { version, row } = self.phase.clone() else {
            return claim::Action::Pending;
        };
        match reply {
            claim::RequestStatus::Running => self.settle(claim::Outcome::Running),
            claim::RequestStatus::Unknown => self.settle(claim::Outcome::Unknown),
            claim::RequestStatus::Done(answer) => {
                self.phase = phase::Phase::StoringOther(answer.clone());
                self.put(version, claim::ClaimRow { state: claim::ClaimState::Done(answer), ..row })
            }
            claim::RequestStatus::IncarnationGone => {
                self.phase = phase::Phase::MarkingOther;
                self.put(version, claim::ClaimRow { state: claim::ClaimState::Unknown, ..row })
            }
            claim::RequestStatus::NotRun => {
                self.phase = phase::Phase::Claiming;
                self.write(version)
            }
        }
    }

    /// The request was answered whole.
    fn on_finished(&mut self, answer: claim::StoredResponse) -> claim::Action {
        let Some(version) = self.dispatched() else { return claim::Action::Pending };
        self.phase = phase::Phase::Storing(answer);
        self.write(version)
    }

    /// The agent did not run the request.
    fn on_not_run(&mut self, next: Option<claim::Target>) -> claim::Action {
        let Some(version) = self.dispatched() else { return claim::Action::Pending };
        match next {
            Some(target) => {
                self.target = target;
                self.attempt += 1;
                self.phase = phase::Phase::Claiming;
            }
            None => self.phase = phase::Phase::Releasing(claim::NotRunReason::AgentRefused),
        }
        self.write(version)
    }

    /// What became of the request cannot be learnt.
    fn on_lost(&mut self) -> claim::Action {
        let Some(version) = self.dispatched() else { return claim::Action::Pending };
        self.phase = phase::Phase::Marking;
        self.write(version)
    }

    fn dispatched(&self) -> Option<ids::RowVersion> {
        match self.phase {
            phase::Phase::Dispatched { version } => Some(version),
            _ => None,
        }
    }

    fn dispatch(&mut self, version: ids::RowVersion) -> claim::Action {
        self.phase = phase::Phase::Dispatched { version };
        claim::Action::Dispatch(self.target.clone())
    }

    /// Writes the row as the phase wants it.
    fn write(&mut self, version: ids::RowVersion) -> claim::Action {
        let state = match &self.phase {
            phase::Phase::Storing(answer) => claim::ClaimState::Done(answer.clone()),
            phase::Phase::Releasing(_) => claim::ClaimState::Released,
            phase::Phase::Marking => claim::ClaimState::Unknown,
            _ => claim::ClaimState::Running,
        };
        let row = claim::ClaimRow {
            digest: self.digest,
            request: self.request,
            attempt: self.attempt,
            target: self.target.clone(),
            state,
        };
        self.put(version, row)
    }

    fn put(&mut self, version: ids::RowVersion, row: claim::ClaimRow) -> claim::Action {
        self.calls += 1;
        claim::Action::Write { version, row }
    }

    fn read(&mut self) -> claim::Action {
        self.calls += 1;
        claim::Action::Read
    }

    fn settle(&mut self, verdict: claim::Outcome) -> claim::Action {
        self.phase = phase::Phase::Settled(verdict.clone());
        claim::Action::Settled(verdict)
    }
}
