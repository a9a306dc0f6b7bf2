//! State machine of a request with an idempotency key.

use crate::claim;
use crate::claim::phase;
use crate::ids;
use crate::store;

/// Number of consecutive failed table service calls after which a claim gives up.
const MAX_CONSECUTIVE_FAILURES: u32 = 4;

/// Total number of table service calls after which a claim gives up, even if all succeeded.
const MAX_CALLS: u32 = 16;

/// A request with an idempotency key; see the [module](crate::claim) for guarantees and limits.
///
/// The caller runs one call at a time, and delays repeated calls itself.
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
    /// Creates a claim for `request`, to be run by `target`. The id must be newly generated for
    /// this attempt.
    #[must_use]
    pub fn new(
        request: ids::RequestId,
        digest: claim::RequestDigest,
        target: claim::Target,
    ) -> Self {
        let phase = phase::Phase::Claiming;
        Self { request, digest, target, attempt: 1, phase, failures: 0, calls: 0 }
    }

    /// Handles `event` and returns the next action.
    pub fn handle(&mut self, event: claim::Event) -> claim::Action {
        match event {
            claim::Event::Start => self.write(0),
            claim::Event::ReadDone(stored) => self.on_read(stored),
            claim::Event::ReadFailed => self.on_failure(),
            claim::Event::WriteDone(outcome) => self.on_write_done(outcome),
            claim::Event::Finished(response) => self.on_finished(response),
            claim::Event::NotRun(next) => self.on_not_run(next),
            claim::Event::Lost => self.on_lost(),
            claim::Event::StatusReceived(status) => self.on_status(status),
        }
    }

    fn on_write_done(&mut self, outcome: store::WriteOutcome) -> claim::Action {
        match outcome {
            store::WriteOutcome::Applied(version) => self.on_applied(version),
            store::WriteOutcome::Conflict => self.read(),
            store::WriteOutcome::Refused | store::WriteOutcome::Unknown => self.on_failure(),
        }
    }

    /// Handles an applied write.
    fn on_applied(&mut self, version: ids::RowVersion) -> claim::Action {
        self.failures = 0;
        match self.phase.clone() {
            phase::Phase::Claiming => self.dispatch(version),
            phase::Phase::StoringEarlier(response) => {
                self.settle(claim::Outcome::Replayed(response))
            }
            phase::Phase::Storing(_) => self.settle(claim::Outcome::Ran { stored: true }),
            phase::Phase::Releasing(reason) => self.settle(claim::Outcome::NotRun(reason)),
            phase::Phase::MarkingEarlier | phase::Phase::MarkingUnknown => {
                self.settle(claim::Outcome::Unknown)
            }
            phase::Phase::QueryingStatus { .. }
            | phase::Phase::Dispatched { .. }
            | phase::Phase::Settled(_) => claim::Action::Pending,
        }
    }

    /// Reads the row again after a failed call, and gives up after repeated failures.
    fn on_failure(&mut self) -> claim::Action {
        self.failures += 1;
        if self.failures < MAX_CONSECUTIVE_FAILURES {
            return self.read();
        }
        self.give_up()
    }

    /// Ends the claim while the table service is unavailable; reports only what is certain.
    fn give_up(&mut self) -> claim::Action {
        let outcome = match self.phase.clone() {
            phase::Phase::Claiming | phase::Phase::Releasing(_) => {
                claim::Outcome::NotAttempted(claim::NotRunReason::StoreUnavailable)
            }
            phase::Phase::StoringEarlier(response) => claim::Outcome::Replayed(response),
            phase::Phase::Storing(_) => claim::Outcome::Ran { stored: false },
            phase::Phase::Settled(outcome) => outcome,
            phase::Phase::QueryingStatus { .. }
            | phase::Phase::MarkingEarlier
            | phase::Phase::Dispatched { .. }
            | phase::Phase::MarkingUnknown => claim::Outcome::Unknown,
        };
        self.settle(outcome)
    }

    fn on_read(&mut self, stored: store::VersionedRow<claim::ClaimRow>) -> claim::Action {
        if self.calls >= MAX_CALLS {
            return self.give_up();
        }
        self.failures = 0;
        let Some(row) = stored.value else { return self.on_absent() };
        if row.request == self.request {
            return self.on_own_row(stored.version, &row);
        }
        match self.phase.clone() {
            phase::Phase::StoringEarlier(response) => {
                self.settle(claim::Outcome::Replayed(response))
            }
            // A claim is only taken over from a request that its agent rejects for good.
            phase::Phase::Storing(_) => self.settle(claim::Outcome::Ran { stored: false }),
            phase::Phase::MarkingUnknown => self.settle(claim::Outcome::Unknown),
            _ => self.on_earlier_request(stored.version, row),
        }
    }

    /// Handles an absent row.
    fn on_absent(&mut self) -> claim::Action {
        match self.phase.clone() {
            phase::Phase::StoringEarlier(response) => {
                self.settle(claim::Outcome::Replayed(response))
            }
            phase::Phase::MarkingEarlier => self.settle(claim::Outcome::Unknown),
            _ => self.write(0),
        }
    }

    /// Handles a row of this request.
    fn on_own_row(&mut self, version: ids::RowVersion, row: &claim::ClaimRow) -> claim::Action {
        if matches!(self.phase, phase::Phase::MarkingEarlier) {
            // An earlier write to acquire the claim was applied after all.
            self.phase = phase::Phase::Claiming;
        }
        match (&row.state, &self.phase) {
            (claim::ClaimState::Done(_), _) => self.settle(claim::Outcome::Ran { stored: true }),
            (claim::ClaimState::Running, phase::Phase::Claiming)
                if self.is_current_attempt(row) =>
            {
                self.dispatch(version)
            }
            (claim::ClaimState::Unknown, phase::Phase::Claiming) => {
                self.phase = phase::Phase::Releasing(claim::NotRunReason::MarkedUnknown);
                self.write(version)
            }
            (claim::ClaimState::Unknown, phase::Phase::MarkingUnknown) => {
                self.settle(claim::Outcome::Unknown)
            }
            (claim::ClaimState::Released, phase::Phase::Releasing(reason)) => {
                self.settle(claim::Outcome::NotRun(*reason))
            }
            _ => self.write(version),
        }
    }

    /// Whether the row was written by the current attempt.
    fn is_current_attempt(&self, row: &claim::ClaimRow) -> bool {
        row.attempt == self.attempt && row.target == self.target
    }

    /// Handles a row of an earlier request.
    fn on_earlier_request(
        &mut self,
        version: ids::RowVersion,
        row: claim::ClaimRow,
    ) -> claim::Action {
        if row.digest != self.digest {
            return self.settle(claim::Outcome::KeyReused);
        }
        match row.state.clone() {
            claim::ClaimState::Done(response) => self.settle(claim::Outcome::Replayed(response)),
            claim::ClaimState::Unknown => self.settle(claim::Outcome::Unknown),
            claim::ClaimState::Released => {
                self.phase = phase::Phase::Claiming;
                self.write(version)
            }
            claim::ClaimState::Running => {
                let (request, target) = (row.request, row.target.clone());
                self.phase = phase::Phase::QueryingStatus { version, row };
                claim::Action::QueryStatus { request, target }
            }
        }
    }

    /// Handles the status of the earlier request.
    fn on_status(&mut self, status: claim::RequestStatus) -> claim::Action {
        let phase::Phase::QueryingStatus { version, row } = self.phase.clone() else {
            return claim::Action::Pending;
        };
        match status {
            claim::RequestStatus::Running => self.settle(claim::Outcome::Running),
            claim::RequestStatus::Unknown => self.settle(claim::Outcome::Unknown),
            claim::RequestStatus::Done(response) => {
                self.phase = phase::Phase::StoringEarlier(response.clone());
                self.write_row(
                    version,
                    claim::ClaimRow { state: claim::ClaimState::Done(response), ..row },
                )
            }
            claim::RequestStatus::IncarnationGone => {
                self.phase = phase::Phase::MarkingEarlier;
                self.write_row(
                    version,
                    claim::ClaimRow { state: claim::ClaimState::Unknown, ..row },
                )
            }
            claim::RequestStatus::NotRun => {
                self.phase = phase::Phase::Claiming;
                self.write(version)
            }
        }
    }

    fn on_finished(&mut self, response: claim::StoredResponse) -> claim::Action {
        let Some(version) = self.dispatched_version() else { return claim::Action::Pending };
        self.phase = phase::Phase::Storing(response);
        self.write(version)
    }

    /// Tries the next agent, or releases the claim if there is none.
    fn on_not_run(&mut self, next: Option<claim::Target>) -> claim::Action {
        let Some(version) = self.dispatched_version() else { return claim::Action::Pending };
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

    fn on_lost(&mut self) -> claim::Action {
        let Some(version) = self.dispatched_version() else { return claim::Action::Pending };
        self.phase = phase::Phase::MarkingUnknown;
        self.write(version)
    }

    fn dispatched_version(&self) -> Option<ids::RowVersion> {
        match self.phase {
            phase::Phase::Dispatched { version } => Some(version),
            _ => None,
        }
    }

    fn dispatch(&mut self, version: ids::RowVersion) -> claim::Action {
        self.phase = phase::Phase::Dispatched { version };
        claim::Action::Dispatch(self.target.clone())
    }

    /// Writes the row for the current phase.
    fn write(&mut self, version: ids::RowVersion) -> claim::Action {
        let state = match &self.phase {
            phase::Phase::Storing(response) => claim::ClaimState::Done(response.clone()),
            phase::Phase::Releasing(_) => claim::ClaimState::Released,
            phase::Phase::MarkingUnknown => claim::ClaimState::Unknown,
            _ => claim::ClaimState::Running,
        };
        let row = claim::ClaimRow {
            digest: self.digest,
            request: self.request,
            attempt: self.attempt,
            target: self.target.clone(),
            state,
        };
        self.write_row(version, row)
    }

    fn write_row(&mut self, version: ids::RowVersion, row: claim::ClaimRow) -> claim::Action {
        self.calls += 1;
        claim::Action::Write { version, row }
    }

    fn read(&mut self) -> claim::Action {
        self.calls += 1;
        claim::Action::Read
    }

    fn settle(&mut self, outcome: claim::Outcome) -> claim::Action {
        self.phase = phase::Phase::Settled(outcome.clone());
        claim::Action::Settled(outcome)
    }
}
