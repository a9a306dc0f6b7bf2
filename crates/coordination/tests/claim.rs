//! Transitions of the claim state machine.

use azuregap_coordination::claim;
use azuregap_coordination::store;
use googletest::prelude::*;

fn digest() -> claim::RequestDigest {
    claim::RequestDigest::of("POST", "/credits", "body")
}

fn agent_a() -> claim::Target {
    claim::Target::new("a", 1)
}

fn agent_b() -> claim::Target {
    claim::Target::new("b", 2)
}

fn response() -> claim::StoredResponse {
    claim::StoredResponse::new(201, "made").header("content-type", "text/plain")
}

fn row(request: u128, state: claim::ClaimState) -> store::VersionedRow<claim::ClaimRow> {
    store::VersionedRow::new(
        5,
        claim::ClaimRow { digest: digest(), request, attempt: 1, target: agent_a(), state },
    )
}

/// A claim after an insert with this outcome.
fn inserted(outcome: store::WriteOutcome) -> (claim::Claim, claim::Action) {
    let mut claim = claim::Claim::new(1, digest(), agent_a());
    claim.handle(claim::Event::Start);
    let action = claim.handle(claim::Event::WriteDone(outcome));
    (claim, action)
}

/// A retry after reading the row `stored`.
fn retry(stored: store::VersionedRow<claim::ClaimRow>) -> (claim::Claim, claim::Action) {
    let mut claim = claim::Claim::new(2, digest(), agent_b());
    claim.handle(claim::Event::Start);
    claim.handle(claim::Event::WriteDone(store::WriteOutcome::Conflict));
    let action = claim.handle(claim::Event::ReadDone(stored));
    (claim, action)
}

/// The row written by `action`.
fn written(action: &claim::Action) -> &claim::ClaimRow {
    match action {
        claim::Action::Write { row, .. } => row,
        other => panic!("expected a write, got {other:?}"),
    }
}

#[gtest]
fn claim_is_written_before_dispatch_and_response_after() {
    let (mut claim, action) = inserted(store::WriteOutcome::Applied(1));
    expect_that!(action, eq(&claim::Action::Dispatch(agent_a())));
    let action = claim.handle(claim::Event::Finished(response()));
    expect_that!(written(&action).state, eq(&claim::ClaimState::Done(response())));
    let action = claim.handle(claim::Event::WriteDone(store::WriteOutcome::Applied(2)));
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::Ran { stored: true })));
}

#[gtest]
fn lost_insert_response_is_resolved_by_reading_the_row() {
    let (mut claim, action) = inserted(store::WriteOutcome::Unknown);
    expect_that!(action, eq(&claim::Action::Read));
    let action = claim.handle(claim::Event::ReadDone(row(1, claim::ClaimState::Running)));
    expect_that!(action, eq(&claim::Action::Dispatch(agent_a())));
}

#[gtest]
fn row_of_another_request_is_not_mistaken_for_own_insert() {
    let (mut claim, _) = inserted(store::WriteOutcome::Unknown);
    let action = claim.handle(claim::Event::ReadDone(row(9, claim::ClaimState::Running)));
    expect_that!(action, eq(&claim::Action::QueryStatus { request: 9, target: agent_a() }));
}

#[gtest]
fn unavailable_store_prevents_dispatch() {
    let (mut claim, mut action) = inserted(store::WriteOutcome::Refused);
    while action == claim::Action::Read {
        action = claim.handle(claim::Event::ReadFailed);
    }
    let reason = claim::NotRunReason::StoreUnavailable;
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::NotAttempted(reason))));
}

#[gtest]
fn retry_returns_the_outcome_recorded_in_the_row() {
    let (_, action) = retry(row(1, claim::ClaimState::Done(response())));
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::Replayed(response()))));
    let (_, action) = retry(row(1, claim::ClaimState::Unknown));
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::Unknown)));
    let mut other = row(1, claim::ClaimState::Done(response()));
    other.value.as_mut().unwrap().digest = claim::RequestDigest::of("POST", "/credits", "other");
    let (_, action) = retry(other);
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::KeyReused)));
}

#[gtest]
fn retry_queries_the_agent_named_in_the_row() {
    let (mut claim, action) = retry(row(1, claim::ClaimState::Running));
    expect_that!(action, eq(&claim::Action::QueryStatus { request: 1, target: agent_a() }));
    let action = claim.handle(claim::Event::StatusReceived(claim::RequestStatus::Done(response())));
    expect_that!(written(&action).request, eq(1));
    let action = claim.handle(claim::Event::WriteDone(store::WriteOutcome::Unknown));
    expect_that!(action, eq(&claim::Action::Read));

    let (mut claim, _) = retry(row(1, claim::ClaimState::Running));
    let action = claim.handle(claim::Event::StatusReceived(claim::RequestStatus::IncarnationGone));
    expect_that!(written(&action).state, eq(&claim::ClaimState::Unknown));

    let (mut claim, _) = retry(row(1, claim::ClaimState::Running));
    let action = claim.handle(claim::Event::StatusReceived(claim::RequestStatus::Unknown));
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::Unknown)));

    let (mut claim, _) = retry(row(1, claim::ClaimState::Running));
    let action = claim.handle(claim::Event::StatusReceived(claim::RequestStatus::NotRun));
    expect_that!(written(&action).target, eq(&agent_b()));
    let action = claim.handle(claim::Event::WriteDone(store::WriteOutcome::Applied(6)));
    expect_that!(action, eq(&claim::Action::Dispatch(agent_b())));
}

#[gtest]
fn rejected_dispatch_is_sent_to_another_agent_or_released() {
    let (mut claim, _) = inserted(store::WriteOutcome::Applied(1));
    let action = claim.handle(claim::Event::NotRun(Some(agent_b())));
    expect_that!(written(&action).attempt, eq(2));
    // The response is lost and the write was not applied: the old row must not cause a dispatch.
    claim.handle(claim::Event::WriteDone(store::WriteOutcome::Unknown));
    let action = claim.handle(claim::Event::ReadDone(row(1, claim::ClaimState::Running)));
    expect_that!(written(&action).target, eq(&agent_b()));
    let action = claim.handle(claim::Event::WriteDone(store::WriteOutcome::Applied(6)));
    expect_that!(action, eq(&claim::Action::Dispatch(agent_b())));
    let action = claim.handle(claim::Event::NotRun(None));
    expect_that!(written(&action).state, eq(&claim::ClaimState::Released));
    let action = claim.handle(claim::Event::WriteDone(store::WriteOutcome::Applied(7)));
    let reason = claim::NotRunReason::AgentRefused;
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::NotRun(reason))));

    let (_, action) = retry(row(1, claim::ClaimState::Released));
    expect_that!(written(&action).request, eq(2));
}

#[gtest]
fn claim_marked_unknown_before_dispatch_is_released() {
    let (mut claim, _) = inserted(store::WriteOutcome::Unknown);
    let action = claim.handle(claim::Event::ReadDone(row(1, claim::ClaimState::Unknown)));
    expect_that!(written(&action).state, eq(&claim::ClaimState::Released));
}

#[gtest]
fn response_of_the_owner_overrides_the_unknown_state() {
    let (mut claim, _) = inserted(store::WriteOutcome::Applied(1));
    claim.handle(claim::Event::Finished(response()));
    claim.handle(claim::Event::WriteDone(store::WriteOutcome::Conflict));
    let action = claim.handle(claim::Event::ReadDone(row(1, claim::ClaimState::Unknown)));
    expect_that!(written(&action).state, eq(&claim::ClaimState::Done(response())));
}

#[gtest]
fn claim_row_round_trips_through_json() {
    let row = row(u128::MAX, claim::ClaimState::Done(response())).value.unwrap();
    let value = serde_json::to_value(&row).unwrap();
    let text = serde_json::to_string_pretty(&value).unwrap();
    insta::assert_snapshot!(text);
    let decoded: claim::ClaimRow = serde_json::from_value(value).unwrap();
    expect_that!(decoded, eq(&row));
}
