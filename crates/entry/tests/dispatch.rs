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
async fn told(idempotent: bool, script: Script) -> (dispatch::Event, Calls) {
    let entry = Entry::new(&["a", "b"], script);
    let mut job = entry.job();
    job.route.idempotent = idempotent;
    (entry.follow(job).await, entry.calls())
}

#[gtest]
#[actix_rt::test]
async fn what_was_refused_by_one_agent_runs_at_another() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(1) => vec![refused(full())],
        _ => answered(id, "notes", 5),
    };
    let (event, calls) = told(false, script).await;
    let dispatch::Event::Whole(whole) = event else { panic!("{event:?}") };
    verify_that!((&whole.body[..], calls.runs), eq((&b"notes"[..], 2)))
}

#[gtest]
#[actix_rt::test]
async fn what_may_not_run_twice_is_sent_once_when_it_may_have_run() -> Result<()> {
    let (event, calls) = told(false, |_, id| vec![accepted(id), refused(broken())]).await;
    let unknown = (code::Code::OutcomeUnknown, false);
    verify_that!((failure(&event), calls.runs), eq((Some(unknown), 1)))
}

#[gtest]
#[actix_rt::test]
async fn what_ran_at_one_agent_is_not_called_not_run_when_another_refuses_it() -> Result<()> {
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
async fn the_answer_to_another_request_is_not_passed_on() -> Result<()> {
    let (event, _) = told(false, |_, id| answered(id ^ 1, "other", 5)).await;
    verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))
}

#[gtest]
#[actix_rt::test]
async fn an_answer_shorter_than_announced_is_not_passed_on_and_its_rest_is_asked_for() -> Result<()>
{
    let (event, calls) = told(false, |_, id| answered(id, "notes", 6)).await;
    verify_that!(calls.resumes, le(3))?;
    verify_that!((failure(&event), calls.runs), eq((Some((code::Code::OutcomeUnknown, false)), 1)))
}

#[gtest]
#[actix_rt::test]
async fn a_lost_connection_is_resumed_and_nothing_sent_again() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(_) => vec![accepted(id)],
        None => answered(id, "notes", 5),
    };
    let (event, calls) = told(false, script).await;
    let dispatch::Event::Whole(whole) = event else { panic!("{event:?}") };
    verify_that!((&whole.body[..], calls.runs), eq((&b"notes"[..], 1)))
}

/// Without progress the agent is asked again as often as it is when it cannot be reached.
#[gtest]
#[actix_rt::test]
async fn an_agent_that_takes_a_resume_and_says_nothing_more_is_not_asked_without_end() -> Result<()>
{
    let (event, calls) = told(false, |_, id| vec![accepted(id)]).await;
    verify_that!(failure(&event), some(eq((code::Code::OutcomeUnknown, false))))?;
    verify_that!(calls.resumes, le(3))
}

/// How full the only agent seems before one more request is sent to it, in requests.
fn fill(entry: &Entry) -> f32 {
    entry.shared.follow();
    let (agent, choice) = entry.shared.router.choose(&entry.job(), &[]).unwrap();
    let refusal = refusal::Refusal::not_run(code::Code::QueueFull, "given back");
    azuregap_entry::sight::Sight::new(entry.shared.router.clone(), agent).refused(&refusal);
    choice.load_factor * 64.0
}

#[gtest]
#[actix_rt::test]
async fn requests_that_met_their_deadline_leave_no_load_behind() -> Result<()> {
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
async fn an_agent_that_said_it_leaves_is_chosen_no_more() -> Result<()> {
    let script: Script = |run, id| match run {
        Some(1) => vec![refused(refusal::Refusal::not_run(code::Code::Leaving, "leaving"))],
        _ => answered(id, "notes", 5),
    };
    let entry = Entry::new(&["a", "b"], script);
    verify_that!(failure(&entry.follow(entry.job()).await), none())?;
    let choose = |_| entry.shared.router.choose(&entry.job(), &[]).unwrap().0.node;
    let chosen: std::collections::BTreeSet<_> = (0..40).map(choose).collect();
    verify_that!(chosen.len(), eq(1))
}
