//! Jobs followed to their end before agents that answer by script.

mod support;

use std::time;

use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_entry::dispatch;
use googletest::prelude::*;

use support::Calls;
use support::Entry;
use support::Script;
use support::accepted;
use support::answered;
use support::broken;
use support::failure;
use support::refused;

fn full() -> refusal::Refusal {
    refusal::Refusal::not_run(code::Code::QueueFull, "the queue is full")
}

/// What the caller of a lookup is told, and what came to two agents that follow `script`.
async fn told(idempotent: bool, script: Script) -> (dispatch::ResponseEvent, Calls) {
    let entry = Entry::new(&["a", "b"], script);
    let mut job = entry.job();
    job.route.idempotent = idempotent;
    (entry.follow(job).await, entry.calls())
}

#[gtest]
#[actix_rt::test]
async fn refused_request_is_retried_on_another_agent() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(1) => vec![refused(full())],
        _ => answered(id, "notes", 5),
    };
    let (event, calls) = told(false, script).await;
    let dispatch::ResponseEvent::Full(whole) = event else { panic!("{event:?}") };
    verify_that!((&whole.body[..], calls.runs), eq((&b"notes"[..], 2)))
}

#[gtest]
#[actix_rt::test]
async fn non_idempotent_request_is_not_retried_after_possible_execution() -> Result<()> {
    let (event, calls) = told(false, |_, id| vec![accepted(id), refused(broken())]).await;
    let unknown = (code::Code::OutcomeUnknown, false);
    verify_that!((failure(&event), calls.runs), eq((Some(unknown), 1)))
}

#[gtest]
#[actix_rt::test]
async fn not_run_flag_stays_false_after_a_failed_execution() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(1) => vec![accepted(id), refused(broken())],
        _ => vec![refused(full())],
    };
    let (event, calls) = told(true, script).await;
    verify_that!(calls.runs, ge(2))?;
    verify_that!(failure(&event).map(|(_, not_run)| not_run), some(eq(false)))
}

#[gtest]
#[actix_rt::test]
async fn response_with_wrong_request_id_is_rejected() -> Result<()> {
    let (event, _) = told(false, |_, id| answered(id ^ 1, "other", 5)).await;
    verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))
}

#[gtest]
#[actix_rt::test]
async fn truncated_response_is_resumed_and_not_forwarded() -> Result<()> {
    let (event, calls) = told(false, |_, id| answered(id, "notes", 6)).await;
    verify_that!(calls.resumes, le(3))?;
    verify_that!((failure(&event), calls.runs), eq((Some((code::Code::OutcomeUnknown, false)), 1)))
}

#[gtest]
#[actix_rt::test]
async fn lost_connection_is_resumed_without_resending() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(_) => vec![accepted(id)],
        None => answered(id, "notes", 5),
    };
    let (event, calls) = told(false, script).await;
    let dispatch::ResponseEvent::Full(whole) = event else { panic!("{event:?}") };
    verify_that!((&whole.body[..], calls.runs), eq((&b"notes"[..], 1)))
}

/// Without progress the agent is asked again as often as it is when it cannot be reached.
#[gtest]
#[actix_rt::test]
async fn resumes_without_progress_are_limited() -> Result<()> {
    let (event, calls) = told(false, |_, id| vec![accepted(id)]).await;
    verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))?;
    verify_that!(calls.resumes, le(3))
}

/// How full the only agent seems before one more request is sent to it, in requests.
fn fill(entry: &Entry) -> f32 {
    entry.context.refresh_router();
    let (agent, choice) = entry.context.router.select(&entry.job(), &[]).unwrap();
    let refusal = refusal::Refusal::not_run(code::Code::QueueFull, "given back");
    azuregap_entry::attempt_observer::AttemptObserver::new(entry.context.router.clone(), agent)
        .refused(&refusal);
    choice.load_factor * 64.0
}

#[gtest]
#[actix_rt::test]
async fn timed_out_requests_release_agent_load() -> Result<()> {
    let entry = Entry::new(&["a"], |_, _| Vec::new());
    let before = fill(&entry);
    let jobs = (0..8).map(|_| {
        let mut job = entry.job();
        job.deadline = tokio::time::Instant::now() + time::Duration::from_millis(100);
        entry.follow(job)
    });
    for event in futures::future::join_all(jobs).await {
        verify_that!(failure(&event), some(eq((code::Code::DeadlinePassed, false))))?;
    }
    verify_that!(fill(&entry), eq(before))
}

#[gtest]
#[actix_rt::test]
async fn leaving_agent_is_not_selected() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(1) => vec![refused(refusal::Refusal::not_run(code::Code::Leaving, "leaving"))],
        _ => answered(id, "notes", 5),
    };
    let entry = Entry::new(&["a", "b"], script);
    verify_that!(failure(&entry.follow(entry.job()).await), none())?;
    let choose = |_| entry.context.router.select(&entry.job(), &[]).unwrap().0.node;
    let chosen: std::collections::BTreeSet<_> = (0..40).map(choose).collect();
    verify_that!(chosen.len(), eq(1))
}
