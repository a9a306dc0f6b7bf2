//! Usage is billed exactly once, whoever dies and whatever answer is lost.

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

/// What goes wrong in one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trouble {
    Nothing,
    AgentDies(time::Duration),
    EntryDies(time::Duration),
    /// The entry cannot reach the agent from then on for 20 s; both go on.
    CutOff(time::Duration),
    /// The agent cannot reach the table service from then on for 90 s.
    StoreCut(time::Duration),
    /// Both of the last two.
    BothCut(time::Duration),
}

impl Trouble {
    fn agent_lives(self, at: time::Duration) -> bool {
        !matches!(self, Self::AgentDies(from) if at >= from)
    }

    fn entry_lives(self, at: time::Duration) -> bool {
        !matches!(self, Self::EntryDies(from) if at >= from)
    }

    fn is_cut(self, at: time::Duration) -> bool {
        let long = time::Duration::from_secs(20);
        match self {
            Self::CutOff(from) | Self::BothCut(from) => at >= from && at < from + long,
            _ => false,
        }
    }

    fn is_store_cut(self, at: time::Duration) -> bool {
        match self {
            Self::StoreCut(from) | Self::BothCut(from) => {
                at >= from && at < from + time::Duration::from_secs(90)
            }
            _ => false,
        }
    }
}

/// Runs `process` while `lives` says so.
async fn live(process: impl Future<Output = ()>, until: Option<time::Duration>) {
    match until {
        Some(until) => drop(tokio::time::timeout(until, process).await),
        None => process.await,
    }
}

struct Run {
    platform: platform::Platform,
    trouble: Trouble,
    start: Instant,
    recorder: usage::Recorder,
    copies: usage::Copies,
    directory: directory::Directory,
    /// Output tokens of the answers that reached the entry whole, by request.
    delivered: cell::RefCell<collections::BTreeMap<u128, u64>>,
}

impl Run {
    fn new(trouble: Trouble) -> rc::Rc<Self> {
        rc::Rc::new(Self {
            platform: platform::Platform::new(),
            trouble,
            start: Instant::now(),
            recorder: usage::Recorder::default(),
            copies: usage::Copies::default(),
            directory: directory::Directory::default(),
            delivered: cell::RefCell::default(),
        })
    }

    /// Answers end at the agent, reach the entry, and are recorded by the agent.
    async fn serve(&self, windows: usage::Windows) {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(7);
        for id in 1..=REQUESTS {
            tokio::time::sleep(time::Duration::from_millis(rng.random_range(20..250))).await;
            let output = rng.random_range(1..500);
            let at = self.start.elapsed();
            if !self.trouble.agent_lives(at) || !self.trouble.entry_lives(at) {
                continue;
            }
            let agent = support::agent("agent", 1);
            let record = support::record(id, &agent, windows.now(), "acme", output);
            self.copies.keep(record.clone());
            self.delivered.borrow_mut().insert(id, output);
            tokio::time::sleep(time::Duration::from_millis(2)).await;
            if self.trouble.agent_lives(self.start.elapsed()) {
                self.recorder.record(record);
            }
        }
    }

    /// The agent's way to the table service.
    fn table(self: &rc::Rc<Self>) -> calls::Table {
        let (run, table) = (self.clone(), self.platform.table.client(support::TIMEOUT));
        calls::Table::new(move |call| {
            let (run, table) = (run.clone(), table.clone());
            async move {
                if run.trouble.is_store_cut(run.start.elapsed()) {
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
            usage::settle_copies(self.copies.clone(), self.ask(), self.directory.clone());
        future::join(writing, settling).await;
    }

    fn ask(self: &rc::Rc<Self>) -> peer_client::PeerClient {
        let agent = mailbox::Mailbox::new(support::agent("agent", 1));
        usage::handle_messages(&agent, self.recorder.clone());
        let entry = mailbox::Mailbox::new(support::entry("entry", 1));
        let run = self.clone();
        peer_client::PeerClient::new(move |_, body| {
            let at = run.start.elapsed();
            let reached = run.trouble.agent_lives(at) && !run.trouble.is_cut(at);
            let answer = reached.then(|| agent.handle_message(&entry.message(body)));
            async move {
                tokio::time::sleep(time::Duration::from_millis(3)).await;
                answer
            }
        })
    }

    /// The entry's list of agents, which learns of a loss after four seconds.
    async fn members(&self) {
        let lag = time::Duration::from_secs(4);
        loop {
            let then = self.start.elapsed().saturating_sub(lag);
            let known = self.trouble.agent_lives(then) && !self.trouble.is_cut(then);
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
        let mut closer = reports::Closer::new(holder.clone(), table.clone(), intake, windows);
        let closing = async {
            loop {
                let _ = closer.round().await;
                tokio::time::sleep(time::Duration::from_secs(1)).await;
            }
        };
        future::join(holder::keep(holder, table, resigned), closing).await;
    }

    /// Requests and output tokens of all reports, each window once.
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

    /// Usage that was not billed in the window it was counted in.
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

/// Bills everything under `trouble` and compares with what was delivered.
async fn bill(
    trouble: Trouble,
    table: impl AsyncFnOnce(&platform::Platform),
) -> googletest::Result<rc::Rc<Run>> {
    let run = Run::new(trouble);
    let windows = support::windows(WINDOW);
    let (agent_dies, entry_dies) = match trouble {
        Trouble::AgentDies(at) => (Some(at), None),
        Trouble::EntryDies(at) => (None, Some(at)),
        _ => (None, None),
    };
    let all = future::join5(
        live(run.clone().agent(windows), agent_dies),
        live(run.clone().entry(windows), entry_dies),
        future::join(run.members(), run.closer(windows)),
        run.serve(windows),
        table(&run.platform),
    );
    let _ = tokio::time::timeout(time::Duration::from_secs(260), all).await;
    verify_that!(run.billed(), eq(run.counted()))
        .with_failure_message(|| format!("{trouble:?}"))?;
    verify_that!(run.platform.reports.with(|state| state.differing()), is_empty())?;
    Ok(run)
}

fn moments() -> impl Iterator<Item = time::Duration> {
    (100..9_000).step_by(97).map(time::Duration::from_millis)
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn without_faults_everything_is_billed_in_its_window() -> googletest::Result<()> {
    let run = bill(Trouble::Nothing, async |_| {}).await?;
    verify_that!(run.late(), eq(0))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_outage_of_five_minutes_makes_reports_late_and_not_wrong() -> googletest::Result<()> {
    let outage = time::Duration::from_secs(300);
    let run = Run::new(Trouble::Nothing);
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
    let future::Either::Left((lateness, _)) = done else { panic!("the processes do not end") };
    println!("all usage of an outage of 300 s reported {:.1} s after it", lateness.as_secs_f64());
    verify_that!(run.platform.reports.with(|state| state.differing()), is_empty())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_agent_that_dies_loses_no_usage() -> googletest::Result<()> {
    for at in moments() {
        bill(Trouble::AgentDies(at), async |_| {}).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_entry_that_dies_loses_no_usage() -> googletest::Result<()> {
    for at in moments() {
        bill(Trouble::EntryDies(at), async |_| {}).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn an_agent_taken_for_dead_is_not_billed_twice() -> googletest::Result<()> {
    for at in moments() {
        bill(Trouble::CutOff(at), async |_| {}).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn usage_that_comes_after_its_window_was_closed_is_billed_late() -> googletest::Result<()> {
    let busy = time::Duration::from_secs(6);
    for at in moments().take_while(|at| *at < busy).step_by(7) {
        let run = bill(Trouble::StoreCut(at), async |_| {}).await?;
        verify_that!(run.late(), gt(0)).with_failure_message(|| format!("{at:?}"))?;
        bill(Trouble::BothCut(at), async |_| {}).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_answers_and_outages_bill_nothing_twice() -> googletest::Result<()> {
    for seed in 0..60 {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let at = time::Duration::from_millis(rng.random_range(100..9_000));
        let trouble = match seed % 4 {
            0 => Trouble::Nothing,
            1 => Trouble::AgentDies(at),
            2 => Trouble::EntryDies(at),
            _ => Trouble::CutOff(at),
        };
        bill(trouble, async |platform| {
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
