//! Requests with an idempotency key, against an in-process table service.

mod support;

use azuregap_core::code;
use azuregap_entry::dispatch;
use azuregap_entry::job;
use azuregap_standins::faults;
use googletest::prelude::*;

use support::Entry;
use support::accepted;
use support::failure;
use support::interrupted;
use support::refused;
use support::response_frames;

fn claimed_job(entry: &Entry) -> job::Job {
    let mut job = entry.job();
    job.route.idempotent = false;
    job.idempotency_key = Some("claim-1".into());
    job
}

fn full_body(event: &dispatch::ResponseEvent) -> &[u8] {
    let dispatch::ResponseEvent::Full(response) = event else { panic!("{event:?}") };
    &response.body
}

#[gtest]
#[actix_rt::test]
async fn repeated_key_replays_stored_response_and_rejects_different_body() -> Result<()> {
    let entry = Entry::new(&["a", "b"], |_, id| response_frames(id, "credit", 6));
    for _ in 0..3 {
        verify_that!(full_body(&entry.run(claimed_job(&entry)).await), eq(b"credit"))?;
    }
    let mut other_body = claimed_job(&entry);
    other_body.body = "other".into();
    let event = entry.run(other_body).await;
    verify_that!(failure(&event), some(eq((code::Code::ClaimKeyReused, true))))?;
    verify_that!(entry.calls().runs, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn outcome_of_interrupted_run_stays_unknown() -> Result<()> {
    let entry = Entry::new(&["a", "b"], |_, id| vec![accepted(id), refused(interrupted())]);
    for _ in 0..3 {
        let event = entry.run(claimed_job(&entry)).await;
        verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))?;
    }
    verify_that!(entry.calls().runs, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn request_is_not_sent_when_claim_store_is_down() -> Result<()> {
    let entry = Entry::new(&["a"], |_, id| response_frames(id, "credit", 6));
    entry.platform.table.set_faults(faults::Faults::new().outage(true));
    let event = entry.run(claimed_job(&entry)).await;
    verify_that!(failure(&event).map(|(code, _)| code), some(eq(code::Code::StoreUnavailable)))?;
    verify_that!(entry.calls().runs, eq(0))
}

#[gtest]
#[actix_rt::test]
async fn replayed_responses_do_not_add_agent_load() -> Result<()> {
    let entry = Entry::new(&["a"], |_, id| response_frames(id, "credit", 6));
    let mut loads = Vec::new();
    for _ in 0..2 {
        for _ in 0..4 {
            entry.run(claimed_job(&entry)).await;
        }
        let (_, selection) = entry.context.router.select(&entry.job(), &[])?;
        loads.push(selection.load_factor * 64.0);
    }
    // The selection that measures the first load is the only one that is not released.
    verify_that!(loads[1] - loads[0], eq(1.0))
}
