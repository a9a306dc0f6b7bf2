//! One part of a prompt crashes each replica that begins to write an answer on it. The prompts that
//! hold it are made of very many parts, one for each block of 16 tokens.
//! The check is LOST (news page): sound requests with the same key begin at least half as often as in
//! calm, from 2 x `ContactMs` after the last crash, while requests with that part still come.

mod world;

use std::collections::HashMap;
use std::env;
use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Replicas, as `scenario-llm` has.
const REPLICAS: usize = 12;

/// Parts of a long prompt beside the one that crashes replicas and its own last one; the head of the
/// request stays under `MaxHeaderBytes`.
const PARTS: usize = 1_000;

/// Tokens in each part: a block of the site's engines.
const PART_TOKENS: usize = 16;

/// The part that crashes replicas.
const DEADLY_PART: &str = "dead1e";

/// Requests with long prompts a second: half of the rate of `drill-scenario`.
const LONG_RATE: u32 = 8;

/// Sound requests a second.
const SOUND_RATE: u32 = 10;

/// A client abandons a stream without an event for so long.
const PATIENCE: Duration = Duration::from_secs(2);

/// How long a replica is away after a crash.
const DOWN: Duration = Duration::from_secs(3);

/// Time before the trouble in which sound requests are counted.
const CALM: Duration = Duration::from_secs(5);

/// Time of the trouble in which they are.
const SPAN: Duration = Duration::from_secs(12);

/// What replicas did.
#[derive(Default)]
struct Seen {
    begun: Mutex<HashMap<String, Instant>>,
    crashes: AtomicUsize,
    last_crash: Mutex<Option<Instant>>,
}

fn main() {
    process::exit(run(&env::args().nth(1).expect("the folder of the case")));
}

/// Streams five events, unless the prompt holds the deadly part; returns whether the replica crashes.
fn answer(id: &str, request: &world::Message, stream: &mut TcpStream) -> std::io::Result<bool> {
    let parts = request.field("prefix-hash").unwrap_or("");
    if world::has_trouble() && parts.split(',').any(|part| part.starts_with(DEADLY_PART)) {
        return Ok(true);
    }
    let more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    stream.write_all(world::signed_head(id, request, more).as_bytes())?;
    for number in 1..=5 {
        thread::sleep(Duration::from_millis(20));
        let event = format!("id: {number}\ndata: hello\n\n");
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(false)
}

/// A model replica that is back some seconds after a crash, at the same address and with the same id.
fn serve_model(store: world::Store, record: world::Record, ip: Ipv4Addr, number: usize, seen: Arc<Seen>) {
    let id = format!("i-huvo11a-{number}");
    let mut address = SocketAddr::from((ip, 0));
    loop {
        let Ok(listener) = TcpListener::bind(address) else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        address = listener.local_addr().expect("a bound address");
        listener.set_nonblocking(true).expect("a listener that doesn't block");
        let (born, crashed) = (world::unix_ms(), Arc::new(AtomicBool::new(false)));
        let mut streams: Vec<TcpStream> = Vec::new();
        let (mut sequence, mut beat_at) = (0, Instant::now());
        while !crashed.load(Ordering::SeqCst) {
            if Instant::now() >= beat_at {
                sequence += 1;
                beat_at = Instant::now() + Duration::from_millis(1_200);
                let entry = format!(
                    "{{\"Service\":\"huvo11a\",\"Address\":\"{address}\",\"Zone\":\"praha-a\",\
                     \"Version\":\"v1\",\"Slots\":64,\"State\":\"ready\",\"ColdLeftMs\":0,\
                     \"Sequence\":{sequence},\"born\":{born}}}"
                );
                store.put("servers", &id, Some(&entry));
            }
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            let own = stream.set_nonblocking(false).and_then(|()| stream.try_clone());
            let Ok(own) = own else { continue };
            streams.push(own);
            let (id, record, seen, crashed) =
                (id.clone(), record.clone(), seen.clone(), crashed.clone());
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = world::Reader::new(stream);
                while let Ok(Some(request)) = reader.message(false) {
                    let name = request.field("request-id").unwrap_or("").to_owned();
                    record.write(format!("replica {id} runs {name}"));
                    seen.begun.lock().expect("the runs").insert(name.clone(), Instant::now());
                    match answer(&id, &request, &mut reader.stream) {
                        Ok(false) => {}
                        Ok(true) => {
                            record.write(format!("replica {id} crashes on {name}"));
                            seen.crashes.fetch_add(1, Ordering::SeqCst);
                            *seen.last_crash.lock().expect("the crash") = Some(Instant::now());
                            crashed.store(true, Ordering::SeqCst);
                            return;
                        }
                        Err(_) => return,
                    }
                }
            });
        }
        drop(listener);
        streams.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
        thread::sleep(DOWN);
    }
}

/// Sends one request with the parts of a prompt; returns its id, and when its client left or was done.
fn send(front: SocketAddr, record: &world::Record, parts: &str, tokens: usize) -> (String, Instant) {
    let id = world::new_id();
    let own = &id[8..];
    let bytes = format!(
        "POST /chat/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 15000\r\n\
         Authorization: Token key\r\nModel: m\r\nToken-Usage: {},80\r\n\
         Prefix-Hash: {parts}{own}:{PART_TOKENS}\r\nContent-Length: 8\r\n\r\n{own}",
        tokens + PART_TOKENS
    );
    let answer = world::exchange(front, bytes.as_bytes(), PATIENCE);
    let outcome = match answer {
        Ok(answer) => answer.status().to_string(),
        Err(error) => format!("{:?}", error.kind()),
    };
    let kind = if tokens > 1_000 { "long" } else { "sound" };
    record.write(format!("client: {kind} POST /chat/1 as {id}: {outcome}"));
    (id, Instant::now())
}

/// Sends requests at a rate, each from a thread of its own; returns how many began before their client
/// left, and how many were sent.
fn send_at(
    rate: u32,
    span: Duration,
    front: SocketAddr,
    record: &world::Record,
    parts: &str,
    tokens: usize,
    seen: &Seen,
) -> (usize, usize) {
    thread::scope(|scope| {
        let mut clients = Vec::new();
        let begun = Instant::now();
        for number in 0..(span.as_secs_f64() * f64::from(rate)) as u32 {
            let due = begun + Duration::from_secs(1) / rate * number;
            thread::sleep(due.saturating_duration_since(Instant::now()));
            clients.push(scope.spawn(move || send(front, record, parts, tokens)));
        }
        let sent: Vec<_> =
            clients.into_iter().map(|client| client.join().expect("a client")).collect();
        let runs = seen.begun.lock().expect("the runs");
        let has_begun =
            |(id, left): &&(String, Instant)| runs.get(id).is_some_and(|begun| begun < left);
        (sent.iter().filter(has_begun).count(), sent.len())
    })
}

fn run(folder: &str) -> i32 {
    let deployment = world::Deployment::start(Path::new(folder), world::plain_answer());
    let Some(mut deployment) = deployment else { return 2 };
    let (record, front) = (deployment.record.clone(), deployment.gateway.front);
    let seen: Arc<Seen> = Arc::default();
    for number in 1..=REPLICAS {
        let (store, record, seen) = (deployment.store.clone(), record.clone(), seen.clone());
        thread::spawn(move || serve_model(store, record, world::own_ip(0), number, seen));
    }
    thread::sleep(Duration::from_secs(2));
    // Sound prompts share their key with the long ones, and no part.
    let sound = ("7707:100,", 100);
    let sound_at = |span| send_at(SOUND_RATE, span, front, &record, sound.0, sound.1, &seen);
    let (calm, calm_sent) = sound_at(CALM);
    record.say(format!("in calm: {calm} of {calm_sent} sound requests begin"));
    if calm * 10 < calm_sent * 9 {
        return 2;
    }
    let parts: String =
        (0..PARTS).map(|part| format!("{:x}:{PART_TOKENS},", 0x1000 + part)).collect();
    let parts = format!("{DEADLY_PART}:{PART_TOKENS},{parts}");
    let tokens = (PARTS + 1) * PART_TOKENS;
    record.write(format!("the long prompts have {} parts in {} bytes", PARTS + 2, parts.len()));
    let settle = 2 * world::CONTACT;
    let span = Duration::from_secs(2) + settle + SPAN;
    let (long, trouble) = thread::scope(|scope| {
        let long = scope.spawn(|| send_at(LONG_RATE, span, front, &record, &parts, tokens, &seen));
        thread::sleep(Duration::from_secs(2) + settle);
        let trouble = sound_at(SPAN);
        (long.join().expect("the long requests"), trouble)
    });
    let last_crash = *seen.last_crash.lock().expect("the crash");
    let is_settled = last_crash.is_none_or(|at| at.elapsed() > SPAN);
    record.say(format!(
        "{} requests with the long prompt came, of which {} began; {} crashes; meanwhile {} of {} sound \
         requests with the same key begin; the process runs: {}, is ready: {}",
        long.1,
        long.0,
        seen.crashes.load(Ordering::SeqCst),
        trouble.0,
        trouble.1,
        deployment.gateway.is_alive(),
        deployment.gateway.is_ready()
    ));
    if !is_settled {
        record.say("a replica crashed while the sound requests were counted");
        return 2;
    }
    let is_broken = trouble.0 * calm_sent * 2 < calm * trouble.1;
    record.say(if is_broken { "broken: sound requests don't begin" } else { "held" });
    i32::from(is_broken)
}
