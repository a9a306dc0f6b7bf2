//! Keeps the newest configuration in force at one process.

use std::cell;
use std::rc;
use std::time;

use azuregap_coordination::configuration;
use azuregap_core::ids;
use azuregap_platform::vms;
use azuregap_wire::control;
use futures::future;
use tokio::time::Instant;

use super::answers;
use super::readers;
use super::source;
use crate::mailbox;
use crate::peer_client;

/// Time between two reads of a reader at most.
const READ_EVERY: time::Duration = time::Duration::from_millis(500);

/// Time between two questions to peers at most.
const ASK_EVERY: time::Duration = time::Duration::from_secs(1);

/// Time between two questions while nothing is in force yet.
const ASK_FIRST: time::Duration = time::Duration::from_millis(200);

/// Age of the proof, or silence of all peers, from which a process that is no reader reads the
/// table service itself.
const READ_SELF: time::Duration = time::Duration::from_secs(3);

/// Age of the proof from which an entry asks every entry.
const ASK_ALL: time::Duration = time::Duration::from_secs(1);

/// Reads that a process may make at once.
const BURST: u32 = 4;

/// Keeps the newest configuration in force at one process.
///
/// A few readers per zone read the table service; the others ask them. A process that hears of a
/// newer version fetches it from who has it, and tells a few others. While the table service is
/// down the answers of all entries together prove that nothing newer was accepted.
#[derive(Clone, Debug)]
pub struct Follower {
    mailbox: mailbox::Mailbox,
    source: source::Source,
    client: peer_client::PeerClient,
    freshness: rc::Rc<cell::RefCell<configuration::Freshness>>,
    answered: rc::Rc<cell::Cell<Option<Instant>>>,
}

impl Follower {
    /// Follows for the process of `mailbox`.
    #[must_use]
    pub fn new(
        mailbox: mailbox::Mailbox,
        source: source::Source,
        client: peer_client::PeerClient,
    ) -> Self {
        let node = mailbox.process().peer.node.clone();
        let rules = configuration::FreshnessOptions::default();
        let freshness = configuration::Freshness::new(node, rules);
        answers::answer(&mailbox);
        let freshness = rc::Rc::new(cell::RefCell::new(freshness));
        Self { mailbox, source, client, freshness, answered: rc::Rc::default() }
    }

    /// Runs until it is dropped.
    pub async fn run(self) {
        future::join4(self.read(), self.ask_peers(), self.fetch(), self.tell()).await;
    }

    /// Reads the table service, as a reader or for want of proof.
    async fn read(&self) {
        let seed = self.mailbox.process().peer.incarnation;
        let mut pace = configuration::JitteredBackoff::new(READ_EVERY, seed);
        let mut budget = configuration::ReadBudget::new(READ_EVERY, BURST);
        loop {
            let now = Instant::now();
            let next = match self.reads(now).then(|| budget.try_acquire(now)) {
                None => pace.after_success(now),
                Some(Err(at)) => at,
                Some(Ok(())) => match self.source.read().await {
                    Ok(_) => pace.after_success(Instant::now()),
                    Err(error) => {
                        tracing::warn!(%error, "configuration not read");
                        pace.after_failure(Instant::now())
                    }
                },
            };
            tokio::time::sleep_until(next).await;
        }
    }

    /// Asks the readers of the zone, and every entry when the proof grows old.
    async fn ask_peers(&self) {
        let seed = !self.mailbox.process().peer.incarnation;
        let mut pace = configuration::JitteredBackoff::new(ASK_EVERY, seed);
        loop {
            let stale = self.mailbox.snapshot().age() >= ASK_ALL;
            if stale && self.is_entry() {
                self.ask_entries().await;
            } else if !self.is_reader() {
                let zone = &self.mailbox.process().peer.zone;
                let readers = readers::readers(&self.mailbox.peers(), zone);
                future::join_all(readers.iter().map(|address| self.ask_one(address))).await;
            }
            let now = Instant::now();
            let first = self.mailbox.snapshot().load().version == 0;
            let next = if first { now + ASK_FIRST } else { pace.after_success(now) };
            tokio::time::sleep_until(next).await;
        }
    }

    /// Asks every entry: together they prove that nothing newer was accepted.
    async fn ask_entries(&self) {
        let peers = self.mailbox.peers();
        let entries = peers.iter().filter(|vm| vm.kind == vms::VmKind::Entry);
        let names: Vec<ids::NodeId> = entries.clone().map(|vm| vm.name.clone()).collect();
        self.freshness.borrow_mut().set_acceptors(names);
        let own = &self.mailbox.process().peer.control;
        let others = entries.filter(|vm| vm.control != *own);
        future::join_all(others.map(|vm| self.ask_one(&vm.control))).await;
        self.prove();
    }

    /// Fetches a version that was heard of from who has it.
    async fn fetch(&self) {
        let mut heard = self.mailbox.newer_versions();
        while heard.changed().await.is_ok() {
            let news = heard.borrow_and_update().clone();
            if news.version <= self.mailbox.snapshot().load().version {
                continue;
            }
            let peers = self.mailbox.peers();
            let listed = peers.iter().find(|vm| vm.name == news.from);
            let address = news.address.or_else(|| listed.map(|vm| vm.control.clone()));
            if let Some(address) = address {
                self.ask_one(&address).await;
            }
        }
    }

    /// Tells a few peers of each new version; the greeting carries it.
    async fn tell(&self) {
        let mut versions = self.mailbox.snapshot().versions();
        while versions.changed().await.is_ok() {
            let version = *versions.borrow_and_update();
            let peer = &self.mailbox.process().peer;
            let told = readers::told(&self.mailbox.peers(), &peer.control, version);
            let tell = |address: &String| {
                let hello = control::Body::Hello(peer.clone());
                let address = address.clone();
                async move { self.client.request(&address, hello).await }
            };
            future::join_all(told.iter().map(tell)).await;
        }
    }

    async fn ask_one(&self, address: &str) {
        let asked = Instant::now();
        let answer = self.client.request(address, control::Body::ConfigurationWanted).await;
        let Some(answer) = answer else { return };
        self.answered.set(Some(Instant::now()));
        if let Some(age) = answers::take(&self.mailbox.snapshot(), &answer) {
            let mut freshness = self.freshness.borrow_mut();
            freshness.confirmed_by_peer(asked, age);
            freshness.confirmed_by_acceptor(&answer.from, asked);
        }
        self.prove();
    }

    /// Passes the proof on to the handle that the data path reads.
    fn prove(&self) {
        let vouches = !self.mailbox.unresolved_changes().any();
        let proved = self.freshness.borrow().fresh_at(vouches, Instant::now());
        if let Some(at) = proved {
            self.mailbox.snapshot().mark_fresh(at);
        }
    }

    /// Whether this process reads the table service now. An entry needs a proof of its own; an
    /// agent is content with peers that answer.
    fn reads(&self, now: Instant) -> bool {
        if self.is_reader() {
            return true;
        }
        let answered = self.answered.get();
        let alone = answered.is_none_or(|at| now.duration_since(at) >= READ_SELF);
        let stale = self.mailbox.snapshot().age() >= READ_SELF;
        stale && (alone || self.is_entry())
    }

    fn is_entry(&self) -> bool {
        self.mailbox.process().peer.role == control::Role::Entry
    }

    fn is_reader(&self) -> bool {
        let peer = &self.mailbox.process().peer;
        let peers = self.mailbox.peers();
        peers.is_empty() || readers::readers(&peers, &peer.zone).contains(&peer.control)
    }
}
