//! The claim machine, step by step.

use azuregap_coordination::claim;
use azuregap_coordination::store;
use googletest::prelude::*;

fn digest() -> claim::RequestDigest {
    claim::RequestDigest::of("POST", "/credits", "body")
}

fn a() -> claim::Target {
    claim::Target::new("a", 1)
}

fn b() -> claim::Target {
    claim::Target::new("b", 2)
}

fn answer() -> claim::StoredResponse {
    claim::StoredResponse::new(201, "made").header("content-type", "text/plain")
}

fn row(request: u128, state: claim::ClaimState) -> store::VersionedRow<claim::ClaimRow> {
    store::VersionedRow::new(
        5,
        claim::ClaimRow { digest: digest(), request, attempt: 1, target: a(), state },
    )
}

/// A claim whose insert gave `outcome`.
fn inserted(outcome: store::WriteOutcome) -> (claim::Claim, claim::Action) {
    let mut claim = claim::Claim::new(1, digest(), a());
    claim.handle(claim::Event::Start);
    let action = claim.handle(claim::Event::WriteDone(outcome));
    (claim, action)
}

/// A repeat that found `stored`.
fn repeat(stored: store::VersionedRow<claim::ClaimRow>) -> (claim::Claim, claim::Action) {
    let mut claim = claim::Claim::new(2, digest(), b());
    claim.handle(claim::Event::Start);
    claim.handle(claim::Event::WriteDone(store::WriteOutcome::Conflict));
    let action = claim.handle(claim::Event::ReadDone(stored));
    (claim, action)
}

/// The row that is written by `action`.
fn written(action: &claim::Action) -> &claim::ClaimRow {
    match action {
        claim::Action::Write { row, .. } => row,
        other => panic!("expected a write, got {other:?}"),
    }
}

#[gtest]
fn the_claim_is_written_before_the_dispatch_and_the_answer_after() {
    let (mut claim, action) = inserted(store::WriteOutcome::Applied(1));
    expect_that!(action, eq(&claim::Action::Dispatch(a())));
    let action = claim.handle(claim::Event::Finished(answer()));
    expect_that!(written(&action).state, eq(&claim::ClaimState::Done(answer())));
    let action = claim.handle(claim::Event::WriteDone(store::WriteOutcome::Applied(2)));
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::Ran { stored: true })));
}

#[gtest]
fn a_lost_insert_is_recognised_in_the_row() {
    let (mut claim, action) = inserted(store::WriteOutcome::Unknown);
    expect_that!(action, eq(&claim::Action::Read));
    let action = claim.handle(claim::Event::ReadDone(row(1, claim::ClaimState::Running)));
    expect_that!(action, eq(&claim::Action::Dispatch(a())));
}

#[gtest]
fn a_lost_insert_of_another_request_is_not_taken_for_ones_own() {
    let (mut claim, _) = inserted(store::WriteOutcome::Unknown);
    let action = claim.handle(claim::Event::ReadDone(row(9, claim::ClaimState::Running)));
    expect_that!(action, eq(&claim::Action::QueryStatus { request: 9, target: a() }));
}

#[gtest]
fn without_a_claim_nothing_is_dispatched() {
    let (mut claim, mut action) = inserted(store::WriteOutcome::Refused);
    while action == claim::Action::Read {
        action = claim.handle(claim::Event::ReadFailed);
    }
    let reason = claim::NotRunReason::StoreUnavailable;
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::NotAttempted(reason))));
}

#[gtest]
fn a_repeat_gets_what_the_row_tells() {
    let (_, action) = repeat(row(1, claim::ClaimState::Done(answer())));
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::Replayed(answer()))));
    let (_, action) = repeat(row(1, claim::ClaimState::Unknown));
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::Unknown)));
    let mut other = row(1, claim::ClaimState::Done(answer()));
    other.value.as_mut().unwrap().digest = claim::RequestDigest::of("POST", "/credits", "other");
    let (_, action) = repeat(other);
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::KeyReused)));
}

#[gtest]
fn a_repeat_asks_the_agent_that_is_named() {
    let (mut claim, action) = repeat(row(1, claim::ClaimState::Running));
    expect_that!(action, eq(&claim::Action::QueryStatus { request: 1, target: a() }));
    let action = claim.handle(claim::Event::StatusReceived(claim::RequestStatus::Done(answer())));
    expect_that!(written(&action).request, eq(1));
    let action = claim.handle(claim::Event::WriteDone(store::WriteOutcome::Unknown));
    expect_that!(action, eq(&claim::Action::Read));

    let (mut claim, _) = repeat(row(1, claim::ClaimState::Running));
    let action = claim.handle(claim::Event::StatusReceived(claim::RequestStatus::IncarnationGone));
    expect_that!(written(&action).state, eq(&claim::ClaimState::Unknown));

    let (mut claim, _) = repeat(row(1, claim::ClaimState::Running));
    let action = claim.handle(claim::Event::StatusReceived(claim::RequestStatus::Unknown));
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::Unknown)));

    let (mut claim, _) = repeat(row(1, claim::ClaimState::Running));
    let action = claim.handle(claim::Event::StatusReceived(claim::RequestStatus::NotRun));
    expect_that!(written(&action).target, eq(&b()));
    let action = claim.handle(claim::Event::WriteDone(store::WriteOutcome::Applied(6)));
    expect_that!(action, eq(&claim::Action::Dispatch(b())));
}

#[gtest]
fn a_refused_dispatch_goes_to_another_agent_or_is_released() {
    let (mut claim, _) = inserted(store::WriteOutcome::Applied(1));
    let action = claim.handle(claim::Event::NotRun(Some(b())));
    expect_that!(written(&action).attempt, eq(2));
    // The answer is lost and the write was not applied: the old row must not start a dispatch.
    claim.handle(claim::Event::WriteDone(store::WriteOutcome::Unknown));
    let action = claim.handle(claim::Event::ReadDone(row(1, claim::ClaimState::Running)));
    expect_that!(written(&action).target, eq(&b()));
    let action = claim.handle(claim::Event::WriteDone(store::WriteOutcome::Applied(6)));
    expect_that!(action, eq(&claim::Action::Dispatch(b())));
    let action = claim.handle(claim::Event::NotRun(None));
    expect_that!(written(&action).state, eq(&claim::ClaimState::Released));
    let action = claim.handle(claim::Event::WriteDone(store::WriteOutcome::Applied(7)));
    let reason = claim::NotRunReason::AgentRefused;
    expect_that!(action, eq(&claim::Action::Settled(claim::Outcome::NotRun(reason))));

    let (_, action) = repeat(row(1, claim::ClaimState::Released));
    expect_that!(written(&action).request, eq(2));
}

#[gtest]
fn a_claim_marked_unknown_before_its_dispatch_is_not_run() {
    let (mut claim, _) = inserted(store::WriteOutcome::Unknown);
    let action = claim.handle(claim::Event::ReadDone(row(1, claim::ClaimState::Unknown)));
    expect_that!(written(&action).state, eq(&claim::ClaimState::Released));
}

#[gtest]
fn the_answer_of_the_owner_prevails_over_a_mark() {
    let (mut claim, _) = inserted(store::WriteOutcome::Applied(1));
    claim.handle(claim::Event::Finished(answer()));
    claim.handle(claim::Event::WriteDone(store::WriteOutcome::Conflict));
    let action = claim.handle(claim::Event::ReadDone(row(1, claim::ClaimState::Unknown)));
    expect_that!(written(&action).state, eq(&claim::ClaimState::Done(answer())));
}

#[gtest]
fn rows_are_json() {
    let row = row(u128::MAX, claim::ClaimState::Done(answer())).value.unwrap();
    let value = serde_json::to_value(&row).unwrap();
    let text = serde_json::to_string_pretty(&value).unwrap();
    insta::assert_snapshot!(text);
    let back: claim::ClaimRow = serde_json::from_value(value).unwrap();
    expect_that!(back, eq(&row));
}
