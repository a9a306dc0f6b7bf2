//! Starts the demo, shows its requests and stops it.

use std::io;
use std::time;

use azuregap_control::configuration;
use azuregap_core::intent;
use azuregap_core::key;
use azuregap_core::settings;
use azuregap_platform::table;
use serde_json::Value;
use serde_json::json;

use super::cluster;
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
    let intent = declared(options.deployment, &key)?;
    let cluster = cluster::Cluster::start(&intent, key::Digest::of(&operator)).await?;
    put_in_force(&cluster, &intent)?;
    let shown = show(&cluster, &intent, &key).await;
    let sound = shown.iter().all(|row| row["expected"] == row["status"]);
    render::print(&json!({ "requests": shown }), json);
    if options.hold {
        hold(&cluster, &key).await;
    }
    cluster.stop().await;
    Ok(if sound { exit::Exit::Done } else { exit::Exit::Faulty })
}

/// The shipped intent with a key for its first team.
fn declared(deployment: args::Deployment, key: &str) -> error::CliResult<intent::Intent> {
    let invalid = |fault| error::CliError::Document("the shipped intent".to_owned(), fault);
    let mut intent: intent::Intent = settings::from_text(deployment.intent()).map_err(invalid)?;
    let team = intent.teams[0].name.clone();
    intent.keys.push(intent::KeyGrant { digest: key::Digest::of(key), team, withdrawn: false });
    Ok(intent)
}

/// Writes the first configuration to the platform's table.
fn put_in_force(cluster: &cluster::Cluster, intent: &intent::Intent) -> error::CliResult<()> {
    let unusable = |error: serde_json::Error| error::CliError::Answer(error.to_string());
    let text = serde_json::to_string(intent).map_err(unusable)?;
    let row = configuration::ConfigurationRow {
        version: 1,
        by: "demo".to_owned(),
        text,
        ..configuration::ConfigurationRow::default()
    };
    let row = serde_json::to_value(row).map_err(unusable)?;
    let write = table::Transaction::new().put(configuration::CURRENT, row);
    cluster.platform.table.with(|state| state.apply(table::TableCall::Commit(write)));
    Ok(())
}

/// Sends every request in turn, at the entries in turn.
async fn show(cluster: &cluster::Cluster, intent: &intent::Intent, key: &str) -> Vec<Value> {
    let client = awc::Client::builder().timeout(PATIENCE).finish();
    let entries = cluster.entries.iter().cycle();
    let mut rows = Vec::new();
    for (request, entry) in requests::all(intent).iter().zip(entries) {
        let answer = send_until_served(&client, *entry, key, request).await;
        rows.push(row(request, &answer));
    }
    rows
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
async fn hold(cluster: &cluster::Cluster, key: &str) {
    println!("\nentries: {:?}", cluster.entries);
    println!("backend servers: {}", cluster.backends.join(", "));
    println!("key: {key}");
    println!("Stop with Ctrl-C.");
    if tokio::signal::ctrl_c().await.is_err() {
        eprintln!("azuregap: no interrupt can be waited for");
    }
}
