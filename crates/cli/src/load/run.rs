//! Sends requests at random times and gathers how they went.

use std::cell;
use std::collections;
use std::env;
use std::rc;
use std::time;

use futures::stream::FuturesUnordered;
use futures::stream::StreamExt as _;
use rand::RngExt as _;
use rand::SeedableRng as _;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use super::Share;
use super::call;
use super::tally;
use crate::args;
use crate::error;
use crate::exit;
use crate::render;

/// Environment variable that holds the key of the calling team.
const KEY_VARIABLE: &str = "AZUREGAP_KEY";

type Tallies = collections::BTreeMap<String, tally::Tally>;

/// Runs a load and prints what was measured.
///
/// # Errors
///
/// [`error::CliError::Unreachable`] when not one request was answered.
pub(crate) async fn run(options: &args::LoadArgs, json: bool) -> error::CliResult<exit::Exit> {
    let key = env::var(KEY_VARIABLE).ok().filter(|key| !key.is_empty());
    let caller = rc::Rc::new(call::Caller::new(options, key));
    let tallies = rc::Rc::new(cell::RefCell::new(Tallies::new()));
    let begun = Instant::now();
    send(options, &caller, &tallies).await;
    let tallies = tallies.borrow();
    render::print(&report(&tallies, begun.elapsed()), json);
    let flawed = tallies.values().any(tally::Tally::is_flawed);
    Ok(if flawed { exit::Exit::Faulty } else { exit::Exit::Done })
}

/// Sends until the duration is over, then waits for the last answers.
async fn send(
    options: &args::LoadArgs,
    caller: &rc::Rc<call::Caller>,
    tallies: &rc::Rc<cell::RefCell<Tallies>>,
) {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(options.seed);
    let begun = Instant::now();
    let mut due = begun;
    let mut running = FuturesUnordered::new();
    loop {
        due += gap(&mut random, options.rate);
        if due - begun >= options.duration {
            break;
        }
        drive_until(due, &mut running).await;
        let name = pick(&mut random, &options.mix).name.clone();
        if running.len() >= options.concurrency as usize {
            tallies.borrow_mut().entry(name).or_default().skip();
            continue;
        }
        let (caller, tallies) = (caller.clone(), tallies.clone());
        running.push(async move {
            let outcome = caller.call(&name, due).await;
            tallies.borrow_mut().entry(name).or_default().record(&outcome);
        });
    }
    while running.next().await.is_some() {}
}

/// Lets the requests under way go on until `due`.
async fn drive_until<F: Future<Output = ()>>(due: Instant, running: &mut FuturesUnordered<F>) {
    let wait = tokio::time::sleep_until(due);
    tokio::pin!(wait);
    loop {
        tokio::select! {
            () = &mut wait => return,
            Some(()) = running.next(), if !running.is_empty() => {}
        }
    }
}

/// Time to the next arrival of a Poisson process.
fn gap(random: &mut impl rand::Rng, rate: u32) -> time::Duration {
    let uniform: f64 = random.random();
    time::Duration::from_secs_f64(-(1.0 - uniform).ln() / f64::from(rate))
}

fn pick<'a>(random: &mut impl rand::Rng, mix: &'a [Share]) -> &'a Share {
    let sum: u32 = mix.iter().map(|share| share.weight).sum();
    let mut left = random.random_range(0..sum);
    let found = mix.iter().find(|share| {
        let hit = left < share.weight;
        left = left.saturating_sub(share.weight);
        hit
    });
    found.unwrap_or(&mix[0])
}

fn report(tallies: &Tallies, elapsed: time::Duration) -> Value {
    let counts: Vec<_> = tallies.iter().map(|(class, tally)| tally.counts(class)).collect();
    let times: Vec<_> = tallies.iter().flat_map(|(class, tally)| tally.times(class)).collect();
    json!({ "elapsed in s": elapsed.as_secs(), "requests": counts, "times": times })
}
