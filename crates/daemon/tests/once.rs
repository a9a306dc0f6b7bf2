//! Calls that may run once, under faults at random stages; the plain service's count judges.

mod support;

use std::time;

use azuregap_standins::faults;
use azuregap_standins::plain;
use googletest::prelude::*;
use nix::sys::signal::Signal;
use rand::RngExt as _;
use rand::SeedableRng as _;

use support::Cluster;
use support::Reply;
use support::Shape;

/// Seed of the schedule.
const SEED: u64 = 20_261_203;

/// Rounds, each with one fault.
const ROUNDS: usize = 50;

/// Calls of one round, spread over [`SPREAD_MS`].
const CALLS: usize = 10;

/// Time over which the calls of a round start, in milliseconds.
const SPREAD_MS: u64 = 120;

/// What strikes in a round.
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

/// One call as it was made and answered.
#[derive(Debug)]
struct Call {
    id: String,
    fault: Fault,
    replies: Vec<Reply>,
}

async fn strike(cluster: &mut Cluster, fault: Fault, at: time::Duration) {
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

/// One call after `wait`; with a key it is repeated at the other entry until its fate is told.
async fn call(callers: [support::Caller; 2], id: String, keyed: bool, wait: u64) -> Vec<Reply> {
    tokio::time::sleep(time::Duration::from_millis(wait)).await;
    let mut replies = vec![callers[0].call("POST", "/credits", &id).await];
    while keyed && replies.len() < 4 && replies.last().is_some_and(|last| !last.claims_whole()) {
        tokio::time::sleep(time::Duration::from_millis(200)).await;
        let caller = &callers[replies.len() % 2];
        replies.push(caller.call("POST", "/credits", &id).await);
    }
    replies
}

async fn play(
    cluster: &mut Cluster,
    round: usize,
    keyed: bool,
    random: &mut rand_chacha::ChaCha8Rng,
) -> Vec<Call> {
    let fault = FAULTS[round % FAULTS.len()];
    let at = time::Duration::from_millis(random.random_range(0..SPREAD_MS + 60));
    let calls: Vec<_> = (0..CALLS)
        .map(|i| {
            let id = format!("call-{round}-{i}");
            let wait = random.random_range(0..SPREAD_MS);
            let first = random.random_range(0..2);
            let callers = [first, 1 - first].map(|entry| {
                let caller = cluster.caller(entry);
                if keyed { caller.header("idempotency-key", &id) } else { caller }
            });
            let calling = call(callers, id.clone(), keyed, wait);
            async move { Call { id, fault, replies: calling.await } }
        })
        .collect();
    let (calls, ()) = futures::join!(futures::future::join_all(calls), strike(cluster, fault, at));
    cluster.platform.table.set_faults(faults::Faults::new());
    cluster.plains.iter().for_each(|plain| plain.set_faults(plain::PlainFaults::default()));
    cluster.settle().await;
    calls
}

/// Whether a reply is the service's whole answer to the call.
fn is_echo(reply: &Reply, id: &str) -> bool {
    let echo = serde_json::from_slice::<plain::Echo>(&reply.body);
    echo.is_ok_and(|echo| echo.headers.get(plain::CALL_ID).is_some_and(|call| call == id))
}

/// What is wrong with a call, when all is over.
fn fault_of(cluster: &Cluster, call: &Call) -> Option<String> {
    let runs = cluster.runs(&call.id);
    let told: Vec<_> =
        call.replies.iter().map(|reply| (reply.status, reply.code(), reply.not_run())).collect();
    let whole = call.replies.iter().any(Reply::claims_whole);
    let torn = call.replies.iter().any(|reply| reply.claims_whole() && !is_echo(reply, &call.id));
    let single_not_run = call.replies.len() == 1 && told[0].2 == Some(true);
    let all_not_run = told.iter().all(|told| told.2 == Some(true));
    let wrong = match runs {
        _ if torn => true,
        0 => whole,
        1 => single_not_run || all_not_run,
        _ => true,
    };
    wrong.then(|| {
        format!("{} under {:?}: ran {runs} times, torn: {torn}, told {told:?}", call.id, call.fault)
    })
}

async fn verify_all_run_at_most_once(keyed: bool) -> Result<()> {
    let shape = Shape { engines: 0, plains: 2, entries: 2, ..Shape::default() };
    let mut cluster = Cluster::start(shape).await;
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(SEED);
    let mut calls = Vec::new();
    for round in 0..ROUNDS {
        calls.extend(play(&mut cluster, round, keyed, &mut random).await);
    }
    let wrong: Vec<_> = calls.iter().filter_map(|call| fault_of(&cluster, call)).collect();
    let ran = calls.iter().filter(|call| cluster.runs(&call.id) > 0).count();
    println!("{} calls, {ran} ran, {} wrong", calls.len(), wrong.len());
    verify_that!(calls.len(), ge(500))?;
    verify_that!(wrong, is_empty())
}

#[gtest]
#[actix_rt::test]
async fn without_a_key_no_call_runs_twice_and_none_that_ran_is_called_not_run() -> Result<()> {
    verify_all_run_at_most_once(false).await
}

#[gtest]
#[actix_rt::test]
async fn with_a_key_no_call_runs_twice_and_none_that_ran_is_called_not_run() -> Result<()> {
    verify_all_run_at_most_once(true).await
}
