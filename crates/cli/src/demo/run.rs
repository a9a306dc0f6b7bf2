//! Starts the demo, shows its requests and stops it.

use std::collections;
use std::io;
use std::time;

use azuregap_core::intent;
use azuregap_core::key;
use azuregap_core::settings;
use serde_json::Value;
use serde_json::json;

use super::cluster;
use super::declare;
use super::requests;
use crate::args;
use crate::error;
use crate::exit;
use crate::render;
use crate::secret;

/// How long the parts may take to find each other.
const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// Time between two tries.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// Bytes of an answer that are shown.
const EXCERPT: usize = 48;

/// Runs the demo.
///
/// # Errors
///
/// [`error::CliError`] when a part does not start.
pub(crate) async fn run(options: &args::DemoArgs, json: bool) -> error::CliResult<exit::Exit> {
    if options.logs {
        tracing_subscriber::fmt().json().flatten_event(true).with_writer(io::stderr).init();
    }
    let (key, operator) = (secret::new_key(), secret::new_key());
    let intent = shipped(options.deployment)?;
    let cluster = cluster::Cluster::start(&intent, key::Digest::of(&operator)).await?;
    let declared = declare::declare(cluster.operators, &operator, &intent, &key).await?;
    let shown = show(&cluster, &intent, &key).await;
    let sound = shown.iter().all(is_sound);
    render::print(&report(&declared, &shown), json);
    if options.hold {
        hold(&cluster, &intent.teams[0].name, &key, &operator).await;
    }
    cluster.stop().await;
    Ok(if sound { exit::Exit::Done } else { exit::Exit::Faulty })
}

/// The shipped intent, for as many replicas as the demo starts.
fn shipped(deployment: args::Deployment) -> error::CliResult<intent::Intent> {
    let invalid = |fault| error::CliError::Document("the shipped intent".to_owned(), fault);
    let mut intent: intent::Intent = settings::from_text(deployment.intent()).map_err(invalid)?;
    for pool in &mut intent.pools {
        pool.min_replicas = cluster::replicas(pool);
    }
    Ok(intent)
}

/// What was put in force and what became of the requests.
fn report(declared: &declare::Declared, shown: &[Value]) -> Value {
    json!({
        "in force": {
            "plan": declared.plan["id"],
            "version": declared.version,
            "steps": declared.plan["steps"],
            "cost": declared.plan["cost"],
        },
        "requests": shown,
    })
}

/// Sends every request in turn, at the entries in turn.
async fn show(cluster: &cluster::Cluster, intent: &intent::Intent, key: &str) -> Vec<Value> {
    let client = awc::Client::builder().timeout(PATIENCE).finish();
    let entries = cluster.entries.iter().cycle();
    let mut rows = Vec::new();
    let mut first = collections::HashMap::new();
    for (request, entry) in requests::all(intent).into_iter().zip(entries) {
        let answer = send_until_served(&client, *entry, key, &request).await;
        let mut row = row(&request, &answer);
        if let Some(claim) = request.claim {
            let earlier = first.entry(claim).or_insert_with(|| answer.body.clone());
            row["as first"] = (*earlier == answer.body).into();
        }
        rows.push(row);
    }
    rows
}

/// Whether a request got the status it must get and a repeat the answer of the first.
fn is_sound(row: &Value) -> bool {
    row["expected"] == row["status"] && row.get("as first").is_none_or(|same| *same == true)
}

/// Sends again what was not run, while the parts still look for each other.
async fn send_until_served(
    client: &awc::Client,
    entry: std::net::SocketAddr,
    key: &str,
    request: &requests::Request,
) -> requests::Answer {
    let begun = tokio::time::Instant::now();
    loop {
        let answer = requests::send(client, entry, key, request).await;
        if answer.status == request.status || !answer.not_run() || begun.elapsed() > PATIENCE {
            return answer;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn row(request: &requests::Request, answer: &requests::Answer) -> Value {
    json!({
        "request": request.shows,
        "expected": request.status,
        "status": answer.status,
        "first byte in ms": answer.first.as_millis(),
        "total in ms": answer.total.as_millis(),
        "bytes": answer.body.len(),
        "answer": excerpt(&answer.body),
    })
}

fn excerpt(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    let line: String = text.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    match line.char_indices().nth(EXCERPT) {
        Some((end, _)) => format!("{}..", &line[..end]),
        None => line,
    }
}

/// Waits for an interrupt and tells how to send requests meanwhile.
async fn hold(cluster: &cluster::Cluster, team: &str, key: &str, operator: &str) {
    println!("\nentries: {:?}", cluster.entries);
    println!("backend servers: {}", cluster.backends.join(", "));
    println!("key of {team}: {key}");
    println!("operators: http://{}", cluster.operators);
    println!("operator key: {operator}");
    println!("Stop with Ctrl-C.");
    if tokio::signal::ctrl_c().await.is_err() {
        eprintln!("azuregap: no interrupt can be waited for");
    }
}
