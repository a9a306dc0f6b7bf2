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
    job.claim = Some("claim-1".into());
    job
}

fn body(event: &dispatch::Event) -> &[u8] {
    let dispatch::Event::Whole(whole) = event else { panic!("{event:?}") };
    &whole.body
}

#[gtest]
#[actix_rt::test]
async fn a_repeat_gets_the_stored_answer_and_another_body_is_refused() -> Result<()> {
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
async fn of_a_run_that_broke_the_outcome_stays_unknown() -> Result<()> {
    let entry = Entry::new(&["a", "b"], |_, id| vec![accepted(id), refused(broken())]);
    for _ in 0..3 {
        let event = entry.follow(claimed(&entry)).await;
        verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))?;
    }
    verify_that!(entry.calls().runs, eq(1))
}

#[gtest]
#[actix_rt::test]
async fn without_a_claim_nothing_is_sent() -> Result<()> {
    let entry = Entry::new(&["a"], |_, id| answered(id, "credit", 6));
    entry.platform.table.set_faults(faults::Faults::new().outage(true));
    let event = entry.follow(claimed(&entry)).await;
    verify_that!(failure(&event).map(|(code, _)| code), some(eq(code::Code::StoreUnavailable)))?;
    verify_that!(entry.calls().runs, eq(0))
}

#[gtest]
#[actix_rt::test]
async fn repeats_leave_no_load_behind_at_an_agent() -> Result<()> {
    let entry = Entry::new(&["a"], |_, id| answered(id, "credit", 6));
    let mut fills = Vec::new();
    for _ in 0..2 {
        for _ in 0..4 {
            entry.follow(claimed(&entry)).await;
        }
        let (_, choice) = entry.shared.router.choose(&entry.job(), &[])?;
        fills.push(choice.load_factor * 64.0);
    }
    // The choice between the two looks is the only request that was not ended.
    verify_that!(fills[1] - fills[0], eq(1.0))
}
