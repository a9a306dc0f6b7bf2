//! Slopes of control messages: their sizes, round trips over nng, and the state of a client.

use std::io;
use std::net;
use std::time;

use azuregap_control::usage;
use azuregap_wire::PROTOCOL;
use azuregap_wire::codec;
use azuregap_wire::control;
use azuregap_wire::frame;
use azuregap_wire::socket;
use tokio::time::Instant;

use super::Slope;
use super::memory;

/// Round trips that are timed.
const TRIPS: usize = 20_000;

/// Clients held to measure the state of one.
const CLIENTS: usize = 400;

/// Usage records held to measure the state of one.
const RECORDS: u128 = 100_000;

/// Longest wait for a reply.
const WAIT: time::Duration = time::Duration::from_secs(5);

/// Slopes of control messages.
pub(super) fn slopes() -> Vec<Slope> {
    let mut slopes = vec![stored_record()];
    slopes.extend(bodies().into_iter().map(size));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let measured = runtime.and_then(|runtime| runtime.block_on(trips()));
    match measured {
        Ok(measured) => slopes.extend(measured),
        Err(error) => eprintln!("control messages are not measured: {error}"),
    }
    slopes
}

fn bodies() -> [(&'static str, control::Body); 8] {
    [
        ("greeting", control::Body::Hello(peer())),
        ("answer to a greeting", control::Body::Greeted { peer: peer(), known: Vec::new() }),
        ("question for the configuration", control::Body::ConfigurationWanted),
        ("answer that nothing is newer", control::Body::UpToDate { age_ms: 750 }),
        ("question for the load left", control::Body::DrainState),
        ("answer with the load left", draining()),
        ("usage copy of one request", control::Body::Usage(vec![record(1)])),
        ("notice that a record is durable", control::Body::UsageDurable { ids: vec![id(1)] }),
    ]
}

const fn draining() -> control::Body {
    let load = frame::Load { running: 106, waiting: 20, slots: 128, backlog: 24_000 };
    control::Body::Draining { load, unflushed: 425 }
}

fn size((name, body): (&'static str, control::Body)) -> Slope {
    let value = codec::encode(&message(body)).len() as f64;
    Slope { name, count: 1, value, unit: "bytes" }
}

/// State of a usage record; hands out what was built so that no memory is used twice.
pub(super) fn state() -> (Slope, usage::Recorder) {
    let before = memory::resident();
    let recorder = usage::Recorder::default();
    (0..RECORDS).for_each(|number| recorder.record(record(number)));
    let grown = memory::resident().saturating_sub(before) as f64 / recorder.unflushed() as f64;
    let name = "usage record that is not durable";
    (Slope { name, count: RECORDS as usize, value: grown, unit: "bytes" }, recorder)
}

fn stored_record() -> Slope {
    let stored = |count| {
        let records = (0..count).map(record).collect();
        let batch = usage::Batch { window: 490_000, number: 1, records };
        serde_json::to_string(&batch).map_or(0, |text| text.len())
    };
    let value = (stored(500) - stored(1)) as f64 / 499.0;
    Slope { name: "usage record as stored in a batch", count: 500, value, unit: "bytes" }
}

async fn trips() -> io::Result<Vec<Slope>> {
    let (server, address) = serve()?;
    let dial = || socket::Client::dial(&address).map_err(io::Error::other);
    let client = dial()?;
    ask(&client).await?;
    let mut slopes = one_by_one(&client).await?;
    let before = memory::resident();
    let clients = (0..CLIENTS).map(|_| dial()).collect::<io::Result<Vec<_>>>()?;
    for client in &clients {
        ask(client).await?;
    }
    let grown = memory::resident().saturating_sub(before) as f64 / CLIENTS as f64;
    let name = "connection for control, both ends";
    slopes.push(Slope { name, count: CLIENTS, value: grown, unit: "bytes" });
    slopes.push(greetings(&clients).await?);
    drop(clients);
    server.close().await;
    Ok(slopes)
}

async fn one_by_one(client: &socket::Client) -> io::Result<Vec<Slope>> {
    let mut times = Vec::with_capacity(TRIPS);
    let used = memory::processor();
    for _ in 0..TRIPS {
        let start = Instant::now();
        ask(client).await?;
        times.push(start.elapsed().as_secs_f64() * 1e6);
    }
    let used = (memory::processor().saturating_sub(used)).as_secs_f64() * 1e6 / TRIPS as f64;
    times.sort_by(f64::total_cmp);
    let slope = |name, value, unit| Slope { name, count: 1, value, unit };
    Ok(vec![
        slope("greeting and answer, one at a time: median", times[TRIPS / 2], "us"),
        slope("greeting and answer, one at a time: 99 in 100", times[TRIPS / 100 * 99], "us"),
        slope("greeting and answer, both ends: processor time", used, "us"),
    ])
}

/// Processor time of a greeting when an entry greets many at once.
async fn greetings(clients: &[socket::Client]) -> io::Result<Slope> {
    let used = memory::processor();
    let rounds = TRIPS / clients.len();
    for _ in 0..rounds {
        futures::future::try_join_all(clients.iter().map(ask)).await?;
    }
    let trips = (rounds * clients.len()) as f64;
    let value = memory::processor().saturating_sub(used).as_secs_f64() * 1e6 / trips;
    let name = "greeting and answer, many at once, both ends: processor time";
    Ok(Slope { name, count: clients.len(), value, unit: "us" })
}

async fn ask(client: &socket::Client) -> io::Result<()> {
    let hello = message(control::Body::Hello(peer()));
    client.request(&hello, WAIT).await.map(drop).map_err(io::Error::other)
}

fn serve() -> io::Result<(socket::Server, String)> {
    let address = net::TcpListener::bind("127.0.0.1:0")?.local_addr()?.to_string();
    let answer = |_| message(control::Body::Greeted { peer: peer(), known: Vec::new() });
    let server = socket::Server::listen(&address, answer).map_err(io::Error::other)?;
    Ok((server, address))
}

fn message(body: control::Body) -> control::Message {
    let from = "agent-model-12-3456".to_owned();
    control::Message { protocol: PROTOCOL, from, incarnation: u64::MAX, version: 2_000_000, body }
}

fn peer() -> control::Peer {
    control::Peer {
        node: "agent-model-12-3456".to_owned(),
        incarnation: u64::MAX,
        zone: "region-3-zone-b".to_owned(),
        control: "10.120.101.110:7100".to_owned(),
        role: control::Role::Agent {
            backend: "model-12-zone-b-0123456789ab".to_owned(),
            pool: "model-12".to_owned(),
            run_address: "10.120.101.110:7200".to_owned(),
        },
    }
}

/// Ids of requests are random; these use as many bytes.
const fn id(number: u128) -> u128 {
    u128::MAX - number
}

fn record(number: u128) -> control::UsageRecord {
    control::UsageRecord {
        id: id(number),
        agent: "agent-model-12-3456".to_owned(),
        incarnation: u64::MAX,
        window: 490_000,
        team: "team-4600".to_owned(),
        route: "model-12-class-2".to_owned(),
        usage: frame::Usage { requests: 1, prompt: 1800, output: 330 },
    }
}
