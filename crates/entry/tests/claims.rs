//! Claimed jobs before a table service in this process.

mod support;

use azuregap_core::code;
use azuregap_entry::dispatch;
use azuregap_entry::job;
use azuregap_standins::faults;
use googletest::prelude::*;

use support::Entry;
use support::accepted;
use support::answered;
use support::broken;
use support::failure;
use support::refused;

fn claimed(entry: &Entry) -> job::Job {
    let mut job = entry.job();
    job.route.idempotent = false;
    job.idempotency_key = Some("claim-1".into());
    job
}

fn body(event: &dispatch::ResponseEvent) -> &[u8] {
    let dispatch::ResponseEvent::Full(whole) = event else { panic!("{event:?}") };
    &whole.body
}

#[gtest]
#[actix_rt::test]
async fn repeated_key_replays_stored_response_and_rejects_different_body() -> Result<()> {
    let entry = Entry::new(&["a", "b"], |_, id| answered(id, "credit", 6));
    for _ in 0..3 {
        verify_that!(body(&entry.follow(claimed(&entry)).await), eq(b"credit"))?;
    }
    let mut other = claimed(&entry);
    other.body = "other".into();
    let event = entry.follow(other).await;
    verify_that!(failure(&event), some(eq((code::Code::ClaimKeyReused, true))))?;
    verify_that!(entry.calls().runs, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn outcome_of_interrupted_run_stays_unknown() -> Result<()> {
    let entry = Entry::new(&["a", "b"], |_, id| vec![accepted(id), refused(broken())]);
    for _ in 0..3 {
        let event = entry.follow(claimed(&entry)).await;
        verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))?;
    }
    verify_that!(entry.calls().runs, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn request_is_not_sent_when_claim_store_is_down() -> Result<()> {
    let entry = Entry::new(&["a"], |_, id| answered(id, "credit", 6));
    entry.platform.table.set_faults(faults::Faults::new().outage(true));
    let event = entry.follow(claimed(&entry)).await;
    verify_that!(failure(&event).map(|(code, _)| code), some(eq(code::Code::StoreUnavailable)))?;
    verify_that!(entry.calls().runs, eq(0))
}

#[gtest]
#[actix_rt::test]
async fn replayed_responses_do_not_add_agent_load() -> Result<()> {
    let entry = Entry::new(&["a"], |_, id| answered(id, "credit", 6));
    let mut fills = Vec::new();
    for _ in 0..2 {
        for _ in 0..4 {
            entry.follow(claimed(&entry)).await;
        }
        let (_, choice) = entry.context.router.select(&entry.job(), &[])?;
        fills.push(choice.load_factor * 64.0);
    }
    // The choice between the two looks is the only request that was not ended.
    verify_that!(fills[1] - fills[0], eq(1.0))
}
