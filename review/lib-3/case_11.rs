//! A crowd whose clients send bodies of legal size and stop one byte before their end, all at once.
//! The check: the memory of the gateway process stays within that of its machine.

mod world;

use std::env;
use std::path::Path;
use std::process;
use std::thread;
use std::time::Duration;

/// Clients in the crowd: a third of the sockets that the machine has descriptors for.
const CROWD: usize = 1_400;

/// Length of each body, in bytes: less than a hundredth of `MaxBodyBytes`.
const BODY: usize = 34_000;

/// How long the crowd stays.
const STAY: Duration = Duration::from_secs(8);

/// Interval between two looks at the memory.
const SAMPLE: Duration = Duration::from_millis(20);

fn main() {
    process::exit(run(&env::args().nth(1).expect("the folder of the case")));
}

/// Returns the exit code; by then all processes have ended.
fn run(folder: &str) -> i32 {
    let deployment = world::Deployment::start(Path::new(folder), world::plain_answer());
    let Some(mut deployment) = deployment else { return 2 };
    let (record, front) = (deployment.record.clone(), deployment.gateway.front);
    // Only memory of the process's own counts here, without the pages of the program's file.
    let memory = |deployment: &world::Deployment| deployment.gateway.status("RssAnon");
    let before = memory(&deployment);
    if world::ask(front, &record, "GET", "/lookup/1", 0) != "200" {
        record.say("no answer before the crowd");
        return 2;
    }
    let crowd = thread::spawn(move || {
        if !world::has_trouble() {
            return Vec::new();
        }
        let head = world::request_head("POST", "/lookup/2", "key", "c", BODY);
        world::open_crowd(front, CROWD, [head.into_bytes(), vec![b'y'; BODY - 1]].concat())
    });
    let mut peak = 0;
    let mut sample = |deployment: &world::Deployment, span: Duration| {
        for _ in 0..span.as_millis() / SAMPLE.as_millis() {
            peak = peak.max(memory(deployment));
            thread::sleep(SAMPLE);
        }
        peak
    };
    while !crowd.is_finished() {
        sample(&deployment, SAMPLE);
    }
    let crowd = crowd.join().expect("the crowd");
    record.write(format!(
        "crowd: {} clients have each sent a body of {BODY} bytes but for its last one (POST /lookup/2)",
        crowd.len()
    ));
    if world::has_trouble() && crowd.len() < CROWD / 2 {
        record.say("the crowd could not connect");
        return 2;
    }
    let peak = sample(&deployment, STAY);
    let descriptors = deployment.gateway.descriptors();
    let served = (0..20).filter(|_| world::ask(front, &record, "GET", "/lookup/3", 0) == "200").count();
    record.write(format!("{served} of 20 ordinary requests are served beside the crowd"));
    let is_alive = deployment.gateway.is_alive();
    let limit = world::MEMORY_MB * 1024;
    record.say(format!(
        "memory of its own: {before} KiB before, {peak} KiB at the peak; the machine has {limit} KiB; \
         {descriptors} descriptors; the process runs: {is_alive}"
    ));
    drop(crowd);
    let is_broken = peak > limit || !is_alive;
    record.say(if is_broken { "broken: more memory than the machine has" } else { "held" });
    i32::from(is_broken)
}
