//! Distribution of the configuration to all processes, and proof of its freshness.

mod support;

use std::cell;
use std::collections;
use std::rc;
use std::time;

use azuregap_control::configuration;
use azuregap_control::failure;
use azuregap_control::keys;
use azuregap_control::mailbox;
use azuregap_control::peer_client;
use azuregap_core::key;
use azuregap_platform::vms;
use azuregap_standins::faults;
use azuregap_standins::platform;
use azuregap_wire::codec;
use azuregap_wire::control;
use futures::future;
use googletest::prelude::*;
use tokio::time::Instant;

/// Time limit for a revoked key to be rejected by all processes.
const PROPAGATION_LIMIT: time::Duration = time::Duration::from_secs(5);

/// Maximum freshness age at which an entry serves callers with keys.
const MAX_STALE: time::Duration = time::Duration::from_secs(4);

/// Entries and agents on one platform, connected with a latency of a few milliseconds.
struct Cluster {
    platform: platform::Platform,
    mailboxes: Vec<mailbox::Mailbox>,
    freezers: Vec<support::Freezer>,
    /// Control addresses of partitioned processes.
    partitioned: cell::RefCell<collections::BTreeSet<String>>,
    /// Whether all messages carry the sender's version.
    versions: bool,
    messages: cell::Cell<u64>,
    bytes: cell::Cell<u64>,
}

impl Cluster {
    fn new(entries: usize, agents: usize, versions: bool) -> rc::Rc<Self> {
        let platform = platform::Platform::new();
        support::seed(&platform, &support::intent(2, 3));
        let entry = |i: usize| support::entry(&format!("entry-{i}"), i as u64 + 1);
        let agent = |i: usize| support::agent(&format!("agent-{i}"), i as u64 + 1_000);
        let processes = (0..entries).map(entry).chain((0..agents).map(agent));
        let mailboxes: Vec<_> = processes.map(mailbox::Mailbox::new).collect();
        let list: Vec<_> = mailboxes.iter().map(vm).collect();
        for mailbox in &mailboxes {
            register_greeting_handler(mailbox);
            mailbox.set_peers(list.clone());
        }
        let freezers = mailboxes.iter().map(|_| support::Freezer::new()).collect();
        let (partitioned, messages, bytes) = Default::default();
        rc::Rc::new(Self { platform, mailboxes, freezers, partitioned, versions, messages, bytes })
    }

    fn source(&self, at: usize) -> configuration::Source {
        let (mailbox, table) = (&self.mailboxes[at], self.platform.table.client(support::TIMEOUT));
        configuration::Source::new(table, mailbox.snapshot(), mailbox.unresolved_changes())
    }

    /// Runs the process at index `at` after a delay of `start`.
    async fn process(self: &rc::Rc<Self>, at: usize, start: time::Duration) {
        tokio::time::sleep(start).await;
        let follower = configuration::Follower::new(
            self.mailboxes[at].clone(),
            self.source(at),
            self.client(at),
        );
        self.freezers[at].run(follower.run()).await;
    }

    fn client(self: &rc::Rc<Self>, at: usize) -> peer_client::PeerClient {
        let (cluster, own) = (self.clone(), self.mailboxes[at].clone());
        peer_client::PeerClient::new(move |address, body| {
            let (cluster, own) = (cluster.clone(), own.clone());
            async move { cluster.deliver(&own, &address, body).await }
        })
    }

    async fn deliver(
        &self,
        own: &mailbox::Mailbox,
        address: &str,
        body: control::Body,
    ) -> Option<control::Message> {
        let timeout = time::Duration::from_millis(700);
        let from = &own.process().peer.control;
        let to = self.mailboxes.iter().position(|to| to.process().peer.control == address)?;
        if self.partitioned.borrow().contains(from) || self.partitioned.borrow().contains(address) {
            tokio::time::sleep(timeout).await;
            return None;
        }
        tokio::time::sleep(time::Duration::from_millis(1)).await;
        if self.freezers[to].is_frozen() {
            tokio::time::sleep(timeout).await;
            return None;
        }
        let request = self.count(own.message(body));
        let reply = self.count(self.mailboxes[to].handle_message(&request));
        tokio::time::sleep(time::Duration::from_millis(1)).await;
        own.observe_version(&reply.from, Some(address), reply.version);
        Some(reply)
    }

    /// Counts a message, and clears its version if messages carry none.
    fn count(&self, mut message: control::Message) -> control::Message {
        let wanted = matches!(message.body, control::Body::ConfigurationWanted);
        if !self.versions && !wanted {
            message.version = 0;
        }
        self.messages.set(self.messages.get() + 1);
        self.bytes.set(self.bytes.get() + codec::encode(&message).len() as u64);
        message
    }

    /// Runs all processes concurrently with `events`; the last `late` ones start after 20 s.
    async fn run(
        self: &rc::Rc<Self>,
        late: usize,
        events: impl Future<Output = googletest::Result<()>>,
    ) -> googletest::Result<()> {
        let start = |at: usize| match at + late >= self.mailboxes.len() {
            true => time::Duration::from_secs(20),
            false => time::Duration::ZERO,
        };
        let all = (0..self.mailboxes.len()).map(|at| self.process(at, start(at)));
        let all = Box::pin(future::join_all(all));
        match future::select(Box::pin(events), all).await {
            future::Either::Left((result, _)) => result,
            future::Either::Right(_) => panic!("the processes ended before the events"),
        }
    }

    fn version(&self, at: usize) -> u64 {
        self.mailboxes[at].snapshot().load().version
    }

    /// Waits until all processes except `without` have `version`, and returns the elapsed time.
    async fn wait_for_version(&self, version: u64, without: Option<usize>) -> time::Duration {
        let start = Instant::now();
        let all = || (0..self.mailboxes.len()).filter(|at| Some(*at) != without);
        while all().any(|at| self.version(at) < version) {
            assert!(
                start.elapsed() < time::Duration::from_secs(60),
                "version did not reach all processes"
            );
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        start.elapsed()
    }

    /// Returns the maximum freshness age of any entry during `span`.
    async fn max_age(&self, entries: usize, span: time::Duration) -> time::Duration {
        let start = Instant::now();
        let mut oldest = time::Duration::ZERO;
        while start.elapsed() < span {
            let ages = self.mailboxes[..entries].iter().map(|entry| entry.snapshot().age());
            oldest = ages.fold(oldest, time::Duration::max);
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        oldest
    }
}

fn vm(mailbox: &mailbox::Mailbox) -> vms::Vm {
    let peer = &mailbox.process().peer;
    let kind = match &peer.role {
        control::Role::Entry => vms::VmKind::Entry,
        control::Role::Agent { pool, .. } => vms::VmKind::Backend { pool: pool.clone() },
    };
    let (name, zone, control) = (peer.node.clone(), peer.zone.clone(), peer.control.clone());
    vms::Vm { name, zone, kind, control, leaving: false }
}

fn register_greeting_handler(mailbox: &mailbox::Mailbox) {
    let peer = mailbox.process().peer.clone();
    mailbox.add_handler(move |message| match &message.body {
        control::Body::Hello(_) => {
            Some(control::Body::Greeted { peer: peer.clone(), known: Vec::new() })
        }
        _ => None,
    });
}

async fn sleep(seconds: u64) {
    tokio::time::sleep(time::Duration::from_secs(seconds)).await;
}

async fn grant_key(cluster: &Cluster, at: usize, name: &str) -> u64 {
    let digest = key::Digest::of(name);
    keys::grant(&cluster.source(at), "ann", &"acme".to_owned(), digest).await.unwrap()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn change_reaches_all_processes_within_limit() -> googletest::Result<()> {
    for versions in [true, false] {
        for entries in [2, 4, 16] {
            let agents = entries * 3;
            let cluster = Cluster::new(entries, agents, versions);
            let events = async {
                sleep(10).await;
                let mut slowest = time::Duration::ZERO;
                let reads = cluster.platform.table.with(|state| state.counters().reads);
                cluster.bytes.set(0);
                let start = Instant::now();
                for change in 0..20 {
                    let version = grant_key(&cluster, change % entries, &change.to_string()).await;
                    slowest = slowest.max(cluster.wait_for_version(version, None).await);
                    tokio::time::sleep(time::Duration::from_millis(1_700)).await;
                }
                let seconds = start.elapsed().as_secs_f64();
                let reads = cluster.platform.table.with(|state| state.counters().reads) - reads;
                let processes = (entries + agents) as f64;
                println!(
                    "{entries} entries, {agents} agents, versions on messages {versions}: slowest \
                     {} ms, {:.1} store reads/s, {:.0} bytes/s per process",
                    slowest.as_millis(),
                    reads as f64 / seconds,
                    cluster.bytes.get() as f64 / seconds / processes,
                );
                verify_that!(slowest, le(PROPAGATION_LIMIT))
            };
            cluster.run(0, events).await?;
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn store_reads_do_not_grow_with_process_count() -> googletest::Result<()> {
    for agents in [1, 8, 60] {
        let cluster = Cluster::new(4, agents, true);
        let events = async {
            sleep(10).await;
            let before = cluster.platform.table.with(|state| state.counters().reads);
            sleep(60).await;
            let reads = cluster.platform.table.with(|state| state.counters().reads) - before;
            println!("{agents} agents and 4 entries: {:.1} store reads/s", reads as f64 / 60.0);
            // Two readers with at most four reads per second each.
            verify_that!(reads, le(2 * 4 * 60))
        };
        cluster.run(0, events).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn process_started_during_store_outage_fetches_from_peers() -> googletest::Result<()> {
    let cluster = Cluster::new(3, 3, true);
    let events = async {
        sleep(10).await;
        cluster.platform.table.set_faults(faults::Faults::new().outage(true));
        sleep(9).await;
        verify_that!(cluster.version(5), eq(0))?;
        sleep(3).await;
        verify_that!(cluster.version(5), eq(1))
    };
    cluster.run(1, events).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn entries_stay_fresh_during_store_faults() -> googletest::Result<()> {
    let cluster = Cluster::new(3, 3, true);
    let events = async {
        sleep(10).await;
        for faults in [
            faults::Faults::new().outage(true),
            faults::Faults::new().delay(time::Duration::from_secs(5)),
            faults::Faults::new().freeze(true),
        ] {
            cluster.platform.table.set_faults(faults);
            let oldest = cluster.max_age(3, time::Duration::from_secs(300)).await;
            verify_that!(oldest, lt(MAX_STALE))?;
        }
        Ok(())
    };
    cluster.run(0, events).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn partitioned_entry_becomes_stale_during_store_outage() -> googletest::Result<()> {
    let cluster = Cluster::new(3, 3, true);
    let events = async {
        sleep(10).await;
        cluster.platform.table.set_faults(faults::Faults::new().outage(true));
        cluster.partitioned.borrow_mut().insert("entry-0".to_owned());
        sleep(10).await;
        verify_that!(cluster.mailboxes[0].snapshot().age(), gt(MAX_STALE))?;
        // The other entries cannot know what it accepted before the partition.
        verify_that!(cluster.mailboxes[1].snapshot().age(), gt(MAX_STALE))?;
        cluster.partitioned.borrow_mut().clear();
        sleep(3).await;
        verify_that!(cluster.mailboxes[0].snapshot().age(), lt(MAX_STALE))
    };
    cluster.run(0, events).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn entry_with_unresolved_change_does_not_confirm_freshness() -> googletest::Result<()> {
    let cluster = Cluster::new(3, 3, true);
    let events = async {
        sleep(10).await;
        let (source, table) = (cluster.source(0), &cluster.platform.table);
        let answer = time::Duration::from_millis(50);
        table.set_faults(faults::Faults::new().answer_delay(answer));
        let (digest, team) = (key::Digest::of("secret"), "acme".to_owned());
        let giving = keys::grant(&source, "ann", &team, digest);
        let outage = async {
            // By now the read has returned and the write has been applied.
            tokio::time::sleep(answer + answer / 2).await;
            table.set_faults(faults::Faults::new().outage(true).lose(1_000));
        };
        let failure = future::join(giving, outage).await.0.unwrap_err();
        verify_that!(matches!(failure, failure::Failure::OutcomeUnknown(_)), eq(true))?;
        let accepted = support::current(&cluster.platform).version;
        verify_that!(accepted, eq(2))?;
        sleep(10).await;
        let ages = cluster.mailboxes[..3].iter().map(|entry| entry.snapshot().age());
        verify_that!(ages.min().unwrap(), gt(MAX_STALE))?;
        cluster.platform.table.set_faults(faults::Faults::new());
        sleep(20).await;
        let all = (0..6).all(|at| cluster.version(at) == accepted);
        verify_that!(all, eq(true))?;
        verify_that!(cluster.mailboxes[0].snapshot().age(), lt(MAX_STALE))
    };
    cluster.run(0, events).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn resumed_process_catches_up_and_rejects_older_versions() -> googletest::Result<()> {
    let cluster = Cluster::new(3, 3, true);
    let events = async {
        sleep(10).await;
        cluster.freezers[1].freeze(time::Duration::from_secs(30));
        sleep(5).await;
        let version = grant_key(&cluster, 0, "one").await;
        cluster.wait_for_version(version, Some(1)).await;
        verify_that!(cluster.version(1), eq(1))?;
        sleep(30).await;
        verify_that!(cluster.version(1), eq(version))?;
        let old = azuregap_control::snapshot::Snapshot::new(1, support::intent(1, 1));
        verify_that!(cluster.mailboxes[1].snapshot().advance(old), eq(false))?;
        verify_that!(cluster.version(1), eq(version))
    };
    cluster.run(0, events).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn store_recovery_causes_no_read_burst_from_agents() -> googletest::Result<()> {
    let cluster = Cluster::new(4, 60, true);
    let events = async {
        sleep(10).await;
        cluster.platform.table.set_faults(faults::Faults::new().outage(true));
        sleep(300).await;
        let reads = || cluster.platform.table.with(|state| state.counters().reads);
        cluster.platform.table.set_faults(faults::Faults::new());
        let mut most = 0;
        for _ in 0..10 {
            let before = reads();
            sleep(1).await;
            most = most.max(reads() - before);
        }
        println!("most store reads in a second after an outage of 300 s: {most}");
        // All entries and readers may use their whole burst at once; the 60 agents must not.
        verify_that!(most, le(6 * 4))
    };
    cluster.run(0, events).await
}
