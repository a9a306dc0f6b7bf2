//! Clients send three requests ahead on one connection and leave while the first one runs.
//! The check is GONE: requests that reach a replica over half a second after their client has closed
//! its connection, and those that replicas are still at work on half a second later.

mod world;

use std::env;
use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Clients that leave: as many as the replicas have slots.
const CLIENTS: usize = 18;

/// Rounds of as many clients that stay, so that a fifth of all clients leave (`give_up` has 0.2).
const STAYING_ROUNDS: usize = 4;

/// Requests that each of them sends ahead.
const AHEAD: usize = 3;

/// Time for which a replica works on a request.
const WORK: Duration = Duration::from_millis(1_500);

/// When a client leaves, after it has sent its requests.
const LEAVES_AFTER: Duration = Duration::from_millis(300);

/// From so long after the close the rule counts.
const SLACK: Duration = Duration::from_millis(500);

/// "More than a few requests."
const FEW: usize = 5;

/// A request at a replica: its id, when it began, and when its work ended.
type Run = (String, Instant, Option<Instant>);

fn main() {
    process::exit(run(&env::args().nth(1).expect("the folder of the case")));
}

/// Works on a request until it is done or its connection is closed, as most replicas do.
fn work(request: &world::Message, stream: &mut TcpStream, runs: &Mutex<Vec<Run>>) -> io::Result<()> {
    let id = request.field("request-id").unwrap_or("").to_owned();
    let begun = Instant::now();
    let index = {
        let mut runs = runs.lock().expect("the runs");
        runs.push((id, begun, None));
        runs.len() - 1
    };
    stream.set_read_timeout(Some(Duration::from_millis(10)))?;
    let mut is_closed = false;
    while begun.elapsed() < WORK && !is_closed {
        is_closed = match stream.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(error) => !matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
            ),
        };
    }
    stream.set_read_timeout(None)?;
    runs.lock().expect("the runs")[index].2 = Some(Instant::now());
    if is_closed {
        return Err(io::ErrorKind::ConnectionAborted.into());
    }
    let head = world::signed_head("3e1b.07.5a2.600.0.c9f2a4d1", request, "Content-Length: 800\r\n");
    stream.write_all((head + &"x".repeat(800)).as_bytes())
}

/// Sends one request and waits for its answer; returns whether it is a success.
fn stay(deployment: &world::Deployment) -> bool {
    let bytes = world::request_head("GET", "/notes/1", "", &world::new_id(), 0);
    let patience = Duration::from_secs(4);
    let answer = world::exchange(deployment.gateway.front, bytes.as_bytes(), patience);
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// Sends requests on one connection and leaves; returns their ids and when it closed the connection.
fn visit(deployment: &world::Deployment, ahead: usize) -> io::Result<(Vec<String>, Instant)> {
    let mut stream = TcpStream::connect(deployment.gateway.front)?;
    let ids: Vec<_> = (0..ahead).map(|_| world::new_id()).collect();
    let head = |id: &String| world::request_head("GET", "/notes/1", "", id, 0);
    let requests: String = ids.iter().map(head).collect();
    stream.write_all(requests.as_bytes())?;
    deployment.record.write(format!("client: sends GET /notes/1 as {}", ids.join(", ")));
    thread::sleep(LEAVES_AFTER);
    drop(stream);
    let closed = Instant::now();
    deployment.record.write(format!("client: has left ({})", ids[0]));
    Ok((ids, closed))
}

fn run(folder: &str) -> i32 {
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let recorded = runs.clone();
    let respond: world::Respond =
        Arc::new(move |request, stream| work(request, stream, &recorded));
    let deployment = world::Deployment::start(Path::new(folder), respond);
    let Some(deployment) = deployment else { return 2 };
    let record = deployment.record.clone();
    for _ in 0..STAYING_ROUNDS {
        let served = thread::scope(|scope| {
            let clients: Vec<_> = (0..CLIENTS).map(|_| scope.spawn(|| stay(&deployment))).collect();
            clients.into_iter().filter_map(|client| client.join().ok()).filter(|served| *served).count()
        });
        record.write(format!("{served} of {CLIENTS} clients that stay are served"));
        if served < CLIENTS {
            return 2;
        }
    }
    // Without trouble each client sends one request and leaves; that alone is no fault.
    let ahead = if world::has_trouble() { AHEAD } else { 1 };
    let visits = thread::scope(|scope| {
        let clients: Vec<_> =
            (0..CLIENTS).map(|_| scope.spawn(|| visit(&deployment, ahead))).collect();
        clients.into_iter().map(|client| client.join().expect("a client")).collect::<Vec<_>>()
    });
    thread::sleep(2 * WORK + Duration::from_secs(2));
    let visits: Vec<_> = visits.into_iter().flatten().collect();
    let runs = runs.lock().expect("the runs");
    let (mut late, mut lasting, mut at_work) = (0, 0, 0);
    for (id, begun, ended) in runs.iter() {
        let Some((_, closed)) = visits.iter().find(|(ids, _)| ids.contains(id)) else { continue };
        if *begun > *closed + SLACK {
            late += 1;
            record.write(format!("{id} began {:?} after its client had left", *begun - *closed));
        } else if *begun + WORK > *closed + SLACK {
            lasting += 1;
            at_work += usize::from(ended.is_none_or(|ended| ended > *closed + SLACK));
        }
    }
    record.say(format!(
        "{} clients have left: {late} requests reached a replica over half a second later; replicas were \
         still at work half a second later on {at_work} of {lasting} that would have lasted so long",
        visits.len()
    ));
    if visits.len() < CLIENTS || lasting == 0 {
        return 2;
    }
    let is_broken = late > FEW || at_work * 4 > lasting;
    record.say(if is_broken { "broken: work for clients that have left" } else { "held" });
    i32::from(is_broken)
}
