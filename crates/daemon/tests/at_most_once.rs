//! Non-idempotent calls under faults at random times; the run counters of the plain services show
//! how often each call ran.

mod support;

use std::time;

use azuregap_standins::faults;
use azuregap_standins::plain;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use rand::RngExt as _;
use rand::SeedableRng as _;

use support::Cluster;
use support::ClusterOptions;
use support::Reply;

/// Seed of the random delays.
const SEED: u64 = 20_261_203;

/// Number of rounds; each injects one fault.
const ROUNDS: usize = 50;

/// Calls of one round, started within [`START_SPREAD_MS`].
const CALLS_PER_ROUND: usize = 10;

/// Time over which the calls of a round start, in milliseconds.
const START_SPREAD_MS: u64 = 120;

/// Fault that is injected in a round.
#[derive(Clone, Copy, Debug)]
enum Fault {
    DropBefore,
    DropAfter,
    CutBody,
    SlowService,
    KillAgent,
    KillEntry,
    FreezeAgent,
    StoreOutage,
    LostClaim,
    None,
}

const FAULTS: [Fault; 10] = [
    Fault::DropBefore,
    Fault::DropAfter,
    Fault::CutBody,
    Fault::SlowService,
    Fault::KillAgent,
    Fault::KillEntry,
    Fault::FreezeAgent,
    Fault::StoreOutage,
    Fault::LostClaim,
    Fault::None,
];

/// One call and its replies.
#[derive(Debug)]
struct Call {
    id: String,
    fault: Fault,
    replies: Vec<Reply>,
}

async fn inject_fault(cluster: &mut Cluster, fault: Fault, at: time::Duration) {
    let set_plains = |cluster: &Cluster, faults: plain::PlainFaults| {
        cluster.plains.iter().for_each(|plain| plain.set_faults(faults.clone()));
    };
    let none = plain::PlainFaults::default;
    let times = faults::Count::Times(3);
    match fault {
        Fault::DropBefore => {
            set_plains(cluster, plain::PlainFaults { drop_before: times, ..none() });
        }
        Fault::DropAfter => set_plains(cluster, plain::PlainFaults { drop_after: times, ..none() }),
        Fault::CutBody => set_plains(cluster, plain::PlainFaults { cut_body: times, ..none() }),
        _ => {
            let delay = time::Duration::from_millis(40);
            set_plains(cluster, plain::PlainFaults { delay, answer_delay: delay, ..none() });
        }
    }
    tokio::time::sleep(at).await;
    let pause = time::Duration::from_millis(2500);
    match fault {
        Fault::KillAgent => cluster.plain_agents[0].restart(),
        Fault::KillEntry => cluster.entries[0].restart(),
        Fault::FreezeAgent => {
            cluster.plain_agents[0].signal(Signal::SIGSTOP);
            tokio::time::sleep(pause).await;
            cluster.plain_agents[0].signal(Signal::SIGCONT);
        }
        Fault::StoreOutage => {
            cluster.platform.table.set_faults(faults::Faults::new().outage(true));
            tokio::time::sleep(pause).await;
        }
        Fault::LostClaim => cluster.platform.table.set_faults(faults::Faults::new().lose(4)),
        _ => {}
    }
}

/// Sends one call after `wait` milliseconds; with an idempotency key it is repeated, alternating
/// between the entries, until it succeeds or after 4 attempts.
async fn call(callers: [support::Caller; 2], id: String, keyed: bool, wait: u64) -> Vec<Reply> {
    tokio::time::sleep(time::Duration::from_millis(wait)).await;
    let mut replies = vec![callers[0].call("POST", "/credits", &id).await];
    while keyed && replies.len() < 4 && replies.last().is_some_and(|last| !last.appears_complete())
    {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        let caller = &callers[replies.len() % 2];
        replies.push(caller.call("POST", "/credits", &id).await);
    }
    replies
}

async fn run_round(
    cluster: &mut Cluster,
    round: usize,
    keyed: bool,
    random: &mut rand_chacha::ChaCha8Rng,
) -> Vec<Call> {
    let fault = FAULTS[round % FAULTS.len()];
    let at = time::Duration::from_millis(random.random_range(0..START_SPREAD_MS + 60));
    let calls: Vec<_> = (0..CALLS_PER_ROUND)
        .map(|i| {
            let id = format!("call-{round}-{i}");
            let wait = random.random_range(0..START_SPREAD_MS);
            let first = random.random_range(0..2);
            let callers = [first, 1 - first].map(|entry| {
                let caller = cluster.caller(entry);
                if keyed { caller.header("idempotency-key", &id) } else { caller }
            });
            let calling = call(callers, id.clone(), keyed, wait);
            async move { Call { id, fault, replies: calling.await } }
        })
        .collect();
    let (calls, ()) =
        futures::join!(futures::future::join_all(calls), inject_fault(cluster, fault, at));
    cluster.platform.table.set_faults(faults::Faults::new());
    cluster.plains.iter().for_each(|plain| plain.set_faults(plain::PlainFaults::default()));
    cluster.wait_until_serving().await;
    calls
}

/// Whether a reply is the service's complete response to the call.
fn is_echo(reply: &Reply, id: &str) -> bool {
    let echo = serde_json::from_slice::<plain::Echo>(&reply.body);
    echo.is_ok_and(|echo| echo.headers.get(plain::CALL_ID).is_some_and(|call| call == id))
}

/// Describes how the replies to a call contradict its run count; none if they don't.
fn violation_of(cluster: &Cluster, call: &Call) -> Option<String> {
    let run_count = cluster.run_count(&call.id);
    let outcomes: Vec<_> =
        call.replies.iter().map(|reply| (reply.status, reply.code(), reply.not_run())).collect();
    let complete = call.replies.iter().any(Reply::appears_complete);
    let truncated =
        call.replies.iter().any(|reply| reply.appears_complete() && !is_echo(reply, &call.id));
    let single_not_run = call.replies.len() == 1 && outcomes[0].2 == Some(true);
    let all_not_run = outcomes.iter().all(|outcome| outcome.2 == Some(true));
    let is_violation = match run_count {
        _ if truncated => true,
        0 => complete,
        1 => single_not_run || all_not_run,
        _ => true,
    };
    is_violation.then(|| {
        format!(
            "{} under {:?}: ran {run_count} times, truncated: {truncated}, replies {outcomes:?}",
            call.id, call.fault
        )
    })
}

async fn verify_all_run_at_most_once(keyed: bool) -> Result<()> {
    let options = ClusterOptions { engines: 0, plains: 2, entries: 2, ..ClusterOptions::default() };
    let mut cluster = Cluster::start(options).await;
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    let mut calls = Vec::new();
    for round in 0..ROUNDS {
        calls.extend(run_round(&mut cluster, round, keyed, &mut random).await);
    }
    let violations: Vec<_> = calls.iter().filter_map(|call| violation_of(&cluster, call)).collect();
    let executed = calls.iter().filter(|call| cluster.run_count(&call.id) > 0).count();
    println!("{} calls, {executed} ran, {} violations", calls.len(), violations.len());
    verify_that!(calls.len(), ge(500))?;
    verify_that!(violations, is_empty())
}

#[gtest]
#[actix_rt::test]
async fn calls_without_a_key_run_at_most_once_and_replies_match() -> Result<()> {
    verify_all_run_at_most_once(false).await
}

#[gtest]
#[actix_rt::test]
async fn calls_with_a_key_run_at_most_once_and_replies_match() -> Result<()> {
    verify_all_run_at_most_once(true).await
}
