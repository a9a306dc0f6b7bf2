//! Usage is billed exactly once, despite lost processes and lost responses.

mod support;

use std::cell;
use std::collections;
use std::rc;
use std::time;

use azuregap_control::directory;
use azuregap_control::holder;
use azuregap_control::mailbox;
use azuregap_control::peer_client;
use azuregap_control::reports;
use azuregap_control::usage;
use azuregap_coordination::lease;
use azuregap_platform::error;
use azuregap_platform::table as calls;
use azuregap_standins::faults;
use azuregap_standins::platform;
use futures::future;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;
use tokio::sync::watch;
use tokio::time::Instant;

const WINDOW: time::Duration = time::Duration::from_secs(5);
const REQUESTS: u128 = 60;

/// The fault injected in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Healthy,
    AgentDies(time::Duration),
    EntryDies(time::Duration),
    /// The entry cannot reach the agent for 20 s from this time; both keep running.
    AgentPartition(time::Duration),
    /// The agent cannot reach the table service for 90 s from this time.
    StorePartition(time::Duration),
    /// Both partitions at once.
    BothPartitions(time::Duration),
}

impl Fault {
    fn is_agent_alive(self, at: time::Duration) -> bool {
        !matches!(self, Self::AgentDies(from) if at >= from)
    }

    fn is_entry_alive(self, at: time::Duration) -> bool {
        !matches!(self, Self::EntryDies(from) if at >= from)
    }

    fn is_agent_partitioned(self, at: time::Duration) -> bool {
        let long = time::Duration::from_secs(20);
        match self {
            Self::AgentPartition(from) | Self::BothPartitions(from) => {
                at >= from && at < from + long
            }
            _ => false,
        }
    }

    fn is_store_partitioned(self, at: time::Duration) -> bool {
        match self {
            Self::StorePartition(from) | Self::BothPartitions(from) => {
                at >= from && at < from + time::Duration::from_secs(90)
            }
            _ => false,
        }
    }
}

/// Runs `process` until it is stopped at `until`, if set.
async fn run_until(process: impl Future<Output = ()>, until: Option<time::Duration>) {
    match until {
        Some(until) => drop(tokio::time::timeout(until, process).await),
        None => process.await,
    }
}

struct Run {
    platform: platform::Platform,
    fault: Fault,
    start: Instant,
    recorder: usage::Recorder,
    copies: usage::Copies,
    directory: directory::Directory,
    /// Output tokens of the responses that reached the entry completely, by request.
    delivered: cell::RefCell<collections::BTreeMap<u128, u64>>,
}

impl Run {
    fn new(fault: Fault) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            platform: platform::Platform::new(),
            fault,
            start: Instant::now(),
            recorder: usage::Recorder::default(),
            copies: usage::Copies::default(),
            directory: directory::Directory::default(),
            delivered: cell::RefCell::default(),
        })
    }

    /// Simulates requests: each response reaches the entry and is then recorded by the agent.
    async fn serve(&self, windows: usage::Windows) {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
        for id in 1..=REQUESTS {
            tokio::time::sleep(time::Duration::from_millis(rng.random_range(20..250))).await;
            let output = rng.random_range(1..500);
            let at = self.start.elapsed();
            if !self.fault.is_agent_alive(at) || !self.fault.is_entry_alive(at) {
                continue;
            }
            let agent = support::agent("agent", 1);
            let record = support::record(id, &agent, windows.now(), "acme", output);
            self.copies.keep(record.clone());
            self.delivered.borrow_mut().insert(id, output);
            tokio::time::sleep(time::Duration::from_millis(2)).await;
            if self.fault.is_agent_alive(self.start.elapsed()) {
                self.recorder.record(record);
            }
        }
    }

    /// Returns the agent's table client, which fails while the agent is partitioned from the store.
    fn table(self: &rc::Rc<Self>) -> calls::Table {
        let (run, table) = (self.clone(), self.platform.table.client(support::TIMEOUT));
        calls::Table::new(move |call| {
            let (run, table) = (run.clone(), table.clone());
            async move {
                if run.fault.is_store_partitioned(run.start.elapsed()) {
                    tokio::time::sleep(support::TIMEOUT).await;
                    return Err(error::PlatformError::Unknown("cut off".to_owned()));
                }
                let calls::TableCall::Commit(transaction) = call else {
                    panic!("an agent only writes: {call:?}");
                };
                Ok(match table.commit(transaction).await? {
                    calls::Commit::Applied(versions) => calls::TableReply::Applied(versions),
                    calls::Commit::Conflict(rows) => calls::TableReply::Conflict(rows),
                })
            }
        })
    }

    async fn agent(self: rc::Rc<Self>, windows: usage::Windows) {
        let table = self.table();
        let held = self.recorder.clone();
        let oldest = move || held.oldest();
        let process = support::agent("agent", 1);
        usage::run_writer(self.recorder.clone(), oldest, table, process, windows).await;
    }

    async fn entry(self: rc::Rc<Self>, windows: usage::Windows) {
        let table = self.platform.table.client(support::TIMEOUT);
        let held = self.copies.clone();
        let orphans = self.copies.orphans().clone();
        let process = support::entry("entry", 1);
        let writing = usage::run_writer(orphans, move || held.oldest(), table, process, windows);
        let settling =
            usage::settle_copies(self.copies.clone(), self.client(), self.directory.clone());
        future::join(writing, settling).await;
    }

    fn client(self: &rc::Rc<Self>) -> peer_client::PeerClient {
        let agent = mailbox::Mailbox::new(support::agent("agent", 1));
        usage::register_handler(&agent, self.recorder.clone());
        let entry = mailbox::Mailbox::new(support::entry("entry", 1));
        let run = self.clone();
        peer_client::PeerClient::new(move |_, body| {
            let at = run.start.elapsed();
            let reached = run.fault.is_agent_alive(at) && !run.fault.is_agent_partitioned(at);
            let answer = reached.then(|| agent.handle_message(&entry.message(body)));
            async move {
                tokio::time::sleep(time::Duration::from_millis(3)).await;
                answer
            }
        })
    }

    /// Maintains the entry's list of agents, which reflects a loss after four seconds.
    async fn members(&self) {
        let lag = time::Duration::from_secs(4);
        loop {
            let then = self.start.elapsed().saturating_sub(lag);
            let known = self.fault.is_agent_alive(then) && !self.fault.is_agent_partitioned(then);
            let agent = support::agent("agent", 1).peer;
            let listed = known.then(|| directory::Agent {
                node: agent.node,
                incarnation: agent.incarnation,
                zone: agent.zone,
                backend: "server".to_owned(),
                pool: "advisor".to_owned(),
                runs: "runs".to_owned(),
                control: agent.control,
                leaving: false,
            });
            self.directory.replace(listed.into_iter().collect());
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
    }

    async fn closer(&self, windows: usage::Windows) {
        let table = self.platform.table.client(support::TIMEOUT);
        let process = support::entry("closer", 9);
        let holder = holder::LeaseHandle::new("control", &process, lease::Timing::default());
        let (_resign, resigned) = watch::channel(false);
        let intake = self.platform.reports.client(support::TIMEOUT);
        let mut closer = reports::WindowCloser::new(holder.clone(), table.clone(), intake, windows);
        let closing = async {
            loop {
                let _ = closer.run_round().await;
                tokio::time::sleep(time::Duration::from_secs(1)).await;
            }
        };
        future::join(holder::keep(holder, table, resigned), closing).await;
    }

    /// Returns the requests and output tokens in all reports, counting each window once.
    fn billed(&self) -> (u64, u64) {
        let log = self.platform.reports.with(|state| state.log().to_vec());
        let texts: collections::BTreeMap<_, _> =
            log.into_iter().map(|report| (report.window, report.text)).collect();
        let mut sum = (0, 0);
        for text in texts.values() {
            let report: reports::Report = serde_json::from_slice(text).unwrap();
            for team in report.teams {
                sum = (sum.0 + team.requests, sum.1 + team.output);
            }
        }
        sum
    }

    /// Returns the number of report lines billed in a later window than they were counted in.
    fn late(&self) -> usize {
        let log = self.platform.reports.with(|state| state.log().to_vec());
        let reports = log.iter().map(|report| serde_json::from_slice(&report.text).unwrap());
        reports
            .map(|report: reports::Report| report.teams.iter().filter(|team| team.late).count())
            .sum()
    }

    fn counted(&self) -> (u64, u64) {
        let delivered = self.delivered.borrow();
        (delivered.len() as u64, delivered.values().sum())
    }
}

/// Runs the simulation with `fault` and checks that the billed usage equals the delivered usage.
async fn check_billing(
    fault: Fault,
    table: impl AsyncFnOnce(&platform::Platform),
) -> googletest::Result<rc::Rc<Run>> {
    let run = Run::new(fault);
    let windows = support::windows(WINDOW);
    let (agent_dies, entry_dies) = match fault {
        Fault::AgentDies(at) => (Some(at), None),
        Fault::EntryDies(at) => (None, Some(at)),
        _ => (None, None),
    };
    let all = future::join5(
        run_until(run.clone().agent(windows), agent_dies),
        run_until(run.clone().entry(windows), entry_dies),
        future::join(run.members(), run.closer(windows)),
        run.serve(windows),
        table(&run.platform),
    );
    let _ = tokio::time::timeout(time::Duration::from_secs(260), all).await;
    verify_that!(run.billed(), eq(run.counted())).with_failure_message(|| format!("{fault:?}"))?;
    verify_that!(run.platform.reports.with(|state| state.differing()), is_empty())?;
    Ok(run)
}

fn fault_times() -> impl Iterator<Item = time::Duration> {
    (100..9_000).step_by(97).map(time::Duration::from_millis)
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn without_faults_usage_is_billed_in_its_own_window() -> googletest::Result<()> {
    let run = check_billing(Fault::Healthy, async |_| {}).await?;
    verify_that!(run.late(), eq(0))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn five_minute_outage_delays_reports_without_errors() -> googletest::Result<()> {
    let outage = time::Duration::from_secs(300);
    let run = Run::new(Fault::Healthy);
    let windows = support::windows(WINDOW);
    let events = async {
        tokio::time::sleep(time::Duration::from_secs(3)).await;
        run.platform.table.set_faults(faults::Faults::new().outage(true));
        tokio::time::sleep(outage).await;
        run.platform.table.set_faults(faults::Faults::new());
        let back = Instant::now();
        while run.billed() != run.counted() {
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
        back.elapsed()
    };
    let work = future::join5(
        run.clone().agent(windows),
        run.clone().entry(windows),
        run.members(),
        run.closer(windows),
        run.serve(windows),
    );
    let all = future::select(Box::pin(events), Box::pin(work));
    let done = tokio::time::timeout(outage * 3, all).await?;
    let future::Either::Left((lateness, _)) = done else {
        panic!("the processes ended before the events")
    };
    println!("all usage of an outage of 300 s reported {:.1} s after it", lateness.as_secs_f64());
    verify_that!(run.platform.reports.with(|state| state.differing()), is_empty())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn agent_crash_loses_no_usage() -> googletest::Result<()> {
    for at in fault_times() {
        check_billing(Fault::AgentDies(at), async |_| {}).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn entry_crash_loses_no_usage() -> googletest::Result<()> {
    for at in fault_times() {
        check_billing(Fault::EntryDies(at), async |_| {}).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn partitioned_agent_is_not_billed_twice() -> googletest::Result<()> {
    for at in fault_times() {
        check_billing(Fault::AgentPartition(at), async |_| {}).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn usage_written_after_window_close_is_billed_late() -> googletest::Result<()> {
    let busy = time::Duration::from_secs(6);
    for at in fault_times().take_while(|at| *at < busy).step_by(7) {
        let run = check_billing(Fault::StorePartition(at), async |_| {}).await?;
        verify_that!(run.late(), gt(0)).with_failure_message(|| format!("{at:?}"))?;
        check_billing(Fault::BothPartitions(at), async |_| {}).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_responses_and_outages_do_not_bill_twice() -> googletest::Result<()> {
    for seed in 0..60 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let at = time::Duration::from_millis(rng.random_range(100..9_000));
        let fault = match seed % 4 {
            0 => Fault::Healthy,
            1 => Fault::AgentDies(at),
            2 => Fault::EntryDies(at),
            _ => Fault::AgentPartition(at),
        };
        check_billing(fault, async |platform| {
            for _ in 0..12 {
                tokio::time::sleep(time::Duration::from_millis(rng.random_range(50..2_500))).await;
                let faults = faults::Faults::new();
                platform.table.set_faults(match rng.random_range(0..4) {
                    0 => faults.lose(rng.random_range(1..5)),
                    1 => faults.outage(true),
                    2 => faults.freeze(true),
                    _ => faults.delay(time::Duration::from_millis(rng.random_range(0..900))),
                });
            }
            platform.table.set_faults(faults::Faults::new());
        })
        .await?;
    }
    Ok(())
}
