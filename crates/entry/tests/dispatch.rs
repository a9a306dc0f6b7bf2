//! Requests that are run against agents with scripted responses.

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
use support::failure;
use support::interrupted;
use support::refused;
use support::response_frames;

fn queue_full() -> refusal::Refusal {
    refusal::Refusal::not_run(code::Code::QueueFull, "the queue is full")
}

/// Last event of a lookup and the calls to two agents that respond by `script`.
async fn run_lookup(idempotent: bool, script: Script) -> (dispatch::ResponseEvent, Calls) {
    let entry = Entry::new(&["a", "b"], script);
    let mut job = entry.job();
    job.route.idempotent = idempotent;
    (entry.run(job).await, entry.calls())
}

#[gtest]
#[actix_rt::test]
async fn refused_request_is_retried_on_another_agent() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(1) => vec![refused(queue_full())],
        _ => response_frames(id, "notes", 5),
    };
    let (event, calls) = run_lookup(false, script).await;
    let dispatch::ResponseEvent::Full(response) = event else { panic!("{event:?}") };
    verify_that!((&response.body[..], calls.runs), eq((&b"notes"[..], 2)))
}

#[gtest]
#[actix_rt::test]
async fn non_idempotent_request_is_not_retried_after_possible_execution() -> Result<()> {
    let (event, calls) =
        run_lookup(false, |_, id| vec![accepted(id), refused(interrupted())]).await;
    let unknown = (code::Code::OutcomeUnknown, false);
    verify_that!((failure(&event), calls.runs), eq((Some(unknown), 1)))
}

#[gtest]
#[actix_rt::test]
async fn not_run_flag_stays_false_after_a_failed_execution() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(1) => vec![accepted(id), refused(interrupted())],
        _ => vec![refused(queue_full())],
    };
    let (event, calls) = run_lookup(true, script).await;
    verify_that!(calls.runs, ge(2))?;
    verify_that!(failure(&event).map(|(_, not_run)| not_run), some(eq(false)))
}

#[gtest]
#[actix_rt::test]
async fn response_with_wrong_request_id_is_rejected() -> Result<()> {
    let (event, _) = run_lookup(false, |_, id| response_frames(id ^ 1, "other", 5)).await;
    verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))
}

#[gtest]
#[actix_rt::test]
async fn truncated_response_is_resumed_and_not_forwarded() -> Result<()> {
    let (event, calls) = run_lookup(false, |_, id| response_frames(id, "notes", 6)).await;
    verify_that!(calls.resumes, le(3))?;
    verify_that!((failure(&event), calls.runs), eq((Some((code::Code::OutcomeUnknown, false)), 1)))
}

#[gtest]
#[actix_rt::test]
async fn lost_connection_is_resumed_without_resending() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(_) => vec![accepted(id)],
        None => response_frames(id, "notes", 5),
    };
    let (event, calls) = run_lookup(false, script).await;
    let dispatch::ResponseEvent::Full(response) = event else { panic!("{event:?}") };
    verify_that!((&response.body[..], calls.runs), eq((&b"notes"[..], 1)))
}

/// An agent that accepts every resume but sends no further frame must not be resumed forever: the
/// limit is that for an agent that can't be reached.
#[gtest]
#[actix_rt::test]
async fn resumes_without_progress_are_limited() -> Result<()> {
    let (event, calls) = run_lookup(false, |_, id| vec![accepted(id)]).await;
    verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))?;
    verify_that!(calls.resumes, le(3))
}

/// Load of the only agent, in requests, as the router sees it before one more request.
fn agent_load(entry: &Entry) -> f32 {
    entry.context.refresh_router();
    let (agent, selection) = entry.context.router.select(&entry.job(), &[]).unwrap();
    let refusal = refusal::Refusal::not_run(code::Code::QueueFull, "given back");
    azuregap_entry::attempt_observer::AttemptObserver::new(entry.context.router.clone(), agent)
        .refused(&refusal);
    selection.load_factor * 64.0
}

#[gtest]
#[actix_rt::test]
async fn timed_out_requests_release_agent_load() -> Result<()> {
    let entry = Entry::new(&["a"], |_, _| Vec::new());
    let load_before = agent_load(&entry);
    let jobs = (0..8).map(|_| {
        let mut job = entry.job();
        job.deadline = tokio::time::Instant::now() + time::Duration::from_millis(100);
        entry.run(job)
    });
    for event in futures::future::join_all(jobs).await {
        verify_that!(failure(&event), some(eq((code::Code::DeadlinePassed, false))))?;
    }
    verify_that!(agent_load(&entry), eq(load_before))
}

#[gtest]
#[actix_rt::test]
async fn leaving_agent_is_not_selected() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(1) => vec![refused(refusal::Refusal::not_run(code::Code::Leaving, "leaving"))],
        _ => response_frames(id, "notes", 5),
    };
    let entry = Entry::new(&["a", "b"], script);
    verify_that!(failure(&entry.run(entry.job()).await), none())?;
    let select = |_| entry.context.router.select(&entry.job(), &[]).unwrap().0.node;
    let selected: std::collections::BTreeSet<_> = (0..40).map(select).collect();
    verify_that!(selected.len(), eq(1))
}
