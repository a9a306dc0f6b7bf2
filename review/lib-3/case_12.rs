//! A crowd whose clients send the bodies of legal requests very slowly: one byte every half second.
//! The check: ordinary callers are still served.

mod world;

use std::env;
use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::process;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Clients in the crowd: a third of the sockets that the machine has descriptors for.
const CROWD: usize = 1_400;

/// Length of each body, in bytes.
const BODY: usize = 4_000;

/// Pause between two bytes of a body.
const PAUSE: Duration = Duration::from_millis(500);

/// Ordinary clients, each of which sends a request about every second.
const CLIENTS: usize = 8;

/// How long the ordinary clients send while the crowd is there.
const SPAN: Duration = Duration::from_secs(20);

fn main() {
    process::exit(run(&env::args().nth(1).expect("the folder of the case")));
}

/// Sends a byte to each connection again and again; returns how many were still open at the end.
fn send_slowly(mut crowd: Vec<TcpStream>, ends: &AtomicBool) -> usize {
    while !ends.load(Ordering::SeqCst) {
        let begun = Instant::now();
        crowd.retain_mut(|stream| stream.write_all(b"y").is_ok());
        thread::sleep(PAUSE.saturating_sub(begun.elapsed()));
    }
    crowd.len()
}

/// Ordinary clients; returns how many of their requests were served, and how many they sent.
fn send_ordinary(deployment: &world::Deployment, span: Duration) -> (usize, usize) {
    let (served, sent) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (front, until) = (deployment.gateway.front, Instant::now() + span);
    let client = |number: usize| {
        let (served, sent, record) = (served.clone(), sent.clone(), deployment.record.clone());
        // Half of them read, the others post, as the classes of the site do.
        let (method, path, body) =
            if number % 2 == 0 { ("GET", "/lookup/1", 0) } else { ("POST", "/lodge/1", 600) };
        thread::spawn(move || {
            while Instant::now() < until {
                sent.fetch_add(1, Ordering::SeqCst);
                if world::ask_with_retries(front, &record, method, path, body) {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                thread::sleep(Duration::from_secs(1));
            }
        })
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    (served.load(Ordering::SeqCst), sent.load(Ordering::SeqCst))
}

fn run(folder: &str) -> i32 {
    let deployment = world::Deployment::start(Path::new(folder), world::plain_answer());
    let Some(mut deployment) = deployment else { return 2 };
    let record = deployment.record.clone();
    let (served, sent) = send_ordinary(&deployment, Duration::from_secs(3));
    record.say(format!("before the crowd: {served} of {sent} ordinary requests are served"));
    if served < sent {
        return 2;
    }
    let head = world::request_head("POST", "/lookup/2", "key", "c", BODY).into_bytes();
    let size = if world::has_trouble() { CROWD } else { 0 };
    let crowd = world::open_crowd(deployment.gateway.front, size, head);
    record.write(format!(
        "crowd: {} clients have sent the heads of POST /lookup/2 with {BODY} bytes; from now on each \
         sends one byte every {} ms",
        crowd.len(),
        PAUSE.as_millis()
    ));
    if crowd.len() < size / 2 {
        record.say("the crowd could not connect");
        return 2;
    }
    let ends = Arc::new(AtomicBool::new(false));
    let ending = ends.clone();
    let crowd = thread::spawn(move || send_slowly(crowd, &ending));
    thread::sleep(world::CONTACT);
    let ready_before = deployment.gateway.is_ready();
    let (served, sent) = send_ordinary(&deployment, SPAN);
    let is_ready = ready_before && deployment.gateway.is_ready();
    let descriptors = deployment.gateway.descriptors();
    ends.store(true, Ordering::SeqCst);
    let left = crowd.join().expect("the crowd");
    record.say(format!(
        "beside the crowd, of which {left} are connected at the end: {served} of {sent} ordinary \
         requests are served; ready: {is_ready}; the process runs: {}; {descriptors} of {} descriptors",
        deployment.gateway.is_alive(),
        world::DESCRIPTORS
    ));
    thread::sleep(Duration::from_secs(1));
    let (after, all) = send_ordinary(&deployment, Duration::from_secs(2));
    record.say(format!("after the crowd: {after} of {all} ordinary requests are served"));
    // The share below which RULES.md takes clients not to be served (RECOVER, Starved).
    let is_broken = served * 4 < sent;
    record.say(if is_broken { "broken: ordinary callers aren't served" } else { "held" });
    i32::from(is_broken)
}
