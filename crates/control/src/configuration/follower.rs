//! Keeps the active configuration of a process up to date.

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

/// Maximum interval between reads of a reader.
const READ_INTERVAL: time::Duration = time::Duration::from_millis(500);

/// Maximum interval between requests to peers.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Interval between requests while no configuration is active.
const INITIAL_POLL_INTERVAL: time::Duration = time::Duration::from_millis(200);

/// Freshness age, or time without a reply from any peer, after which a process that is not a reader
/// reads the table service itself.
const DIRECT_READ_AGE: time::Duration = time::Duration::from_secs(3);

/// Freshness age after which an entry queries all entries.
const QUERY_ENTRIES_AGE: time::Duration = time::Duration::from_secs(1);

/// Maximum burst of reads of one process.
const READ_BURST: u32 = 4;

/// Keeps the active configuration of a process up to date.
///
/// A few readers per zone poll the table service; other processes poll the readers. A process that
/// learns of a newer version fetches it from the node that has it and notifies a few peers. During
/// an outage of the table service, replies from all entries together prove that no newer version
/// was accepted.
#[derive(Clone, Debug)]
pub struct Follower {
    mailbox: mailbox::Mailbox,
    source: source::Source,
    client: peer_client::PeerClient,
    freshness: rc::Rc<cell::RefCell<configuration::Freshness>>,
    replied_at: rc::Rc<cell::Cell<Option<Instant>>>,
}

impl Follower {
    /// Creates a follower for the process of `mailbox`.
    #[must_use]
    pub fn new(
        mailbox: mailbox::Mailbox,
        source: source::Source,
        client: peer_client::PeerClient,
    ) -> Self {
        let node = mailbox.process().peer.node.clone();
        let options = configuration::FreshnessOptions::default();
        let freshness = configuration::Freshness::new(node, options);
        answers::register_handler(&mailbox);
        let freshness = rc::Rc::new(cell::RefCell::new(freshness));
        Self { mailbox, source, client, freshness, replied_at: rc::Rc::default() }
    }

    /// Runs until it is dropped.
    pub async fn run(self) {
        future::join4(self.read(), self.poll_peers(), self.fetch(), self.announce()).await;
    }

    /// Reads the table service if this process is a reader or its configuration may be stale.
    async fn read(&self) {
        let seed = self.mailbox.process().peer.incarnation;
        let mut backoff = configuration::JitteredBackoff::new(READ_INTERVAL, seed);
        let mut budget = configuration::ReadBudget::new(READ_INTERVAL, READ_BURST);
        loop {
            let now = Instant::now();
            let next = match self.should_read(now).then(|| budget.try_acquire(now)) {
                None => backoff.after_success(now),
                Some(Err(at)) => at,
                Some(Ok(())) => match self.source.read().await {
                    Ok(_) => backoff.after_success(Instant::now()),
                    Err(error) => {
                        tracing::warn!(%error, "failed to read the configuration");
                        backoff.after_failure(Instant::now())
                    }
                },
            };
            tokio::time::sleep_until(next).await;
        }
    }

    /// Polls the readers of the zone, or all entries once freshness expires on an entry.
    async fn poll_peers(&self) {
        let seed = !self.mailbox.process().peer.incarnation;
        let mut backoff = configuration::JitteredBackoff::new(POLL_INTERVAL, seed);
        loop {
            let stale = self.mailbox.snapshot().age() >= QUERY_ENTRIES_AGE;
            if stale && self.is_entry() {
                self.query_entries().await;
            } else if !self.is_reader() {
                let zone = &self.mailbox.process().peer.zone;
                let readers = readers::readers(&self.mailbox.peers(), zone);
                future::join_all(readers.iter().map(|address| self.query(address))).await;
            }
            let now = Instant::now();
            let initial = self.mailbox.snapshot().load().version == 0;
            let next =
                if initial { now + INITIAL_POLL_INTERVAL } else { backoff.after_success(now) };
            tokio::time::sleep_until(next).await;
        }
    }

    /// Queries all entries. Replies from all of them prove that no newer version was accepted.
    async fn query_entries(&self) {
        let peers = self.mailbox.peers();
        let entries = peers.iter().filter(|vm| vm.kind == vms::VmKind::Entry);
        let names: Vec<ids::NodeId> = entries.clone().map(|vm| vm.name.clone()).collect();
        self.freshness.borrow_mut().set_acceptors(names);
        let own = &self.mailbox.process().peer.control;
        let others = entries.filter(|vm| vm.control != *own);
        future::join_all(others.map(|vm| self.query(&vm.control))).await;
        self.update_freshness();
    }

    /// Fetches newly announced versions from the nodes that have them.
    async fn fetch(&self) {
        let mut versions = self.mailbox.newer_versions();
        while versions.changed().await.is_ok() {
            let newer = versions.borrow_and_update().clone();
            if newer.version <= self.mailbox.snapshot().load().version {
                continue;
            }
            let peers = self.mailbox.peers();
            let listed = peers.iter().find(|vm| vm.name == newer.from);
            let address = newer.address.or_else(|| listed.map(|vm| vm.control.clone()));
            if let Some(address) = address {
                self.query(&address).await;
            }
        }
    }

    /// Announces each new version to a few peers with a greeting, which carries the version.
    async fn announce(&self) {
        let mut versions = self.mailbox.snapshot().versions();
        while versions.changed().await.is_ok() {
            let version = *versions.borrow_and_update();
            let peer = &self.mailbox.process().peer;
            let targets = readers::announce_targets(&self.mailbox.peers(), &peer.control, version);
            let greet = |address: &String| {
                let hello = control::Body::Hello(peer.clone());
                let address = address.clone();
                async move { self.client.request(&address, hello).await }
            };
            future::join_all(targets.iter().map(greet)).await;
        }
    }

    async fn query(&self, address: &str) {
        let sent = Instant::now();
        let reply = self.client.request(address, control::Body::ConfigurationWanted).await;
        let Some(reply) = reply else { return };
        self.replied_at.set(Some(Instant::now()));
        if let Some(age) = answers::apply_reply(&self.mailbox.snapshot(), &reply) {
            let mut freshness = self.freshness.borrow_mut();
            freshness.confirmed_by_peer(sent, age);
            freshness.confirmed_by_acceptor(&reply.from, sent);
        }
        self.update_freshness();
    }

    /// Publishes freshness on the handle that the data path reads.
    fn update_freshness(&self) {
        let can_confirm = !self.mailbox.unresolved_changes().any();
        let fresh_at = self.freshness.borrow().fresh_at(can_confirm, Instant::now());
        if let Some(at) = fresh_at {
            self.mailbox.snapshot().mark_fresh(at);
        }
    }

    /// Returns whether this process reads the table service now. An entry must prove freshness
    /// itself; for an agent it is enough that peers reply.
    fn should_read(&self, now: Instant) -> bool {
        if self.is_reader() {
            return true;
        }
        let replied_at = self.replied_at.get();
        let isolated = replied_at.is_none_or(|at| now.duration_since(at) >= DIRECT_READ_AGE);
        let stale = self.mailbox.snapshot().age() >= DIRECT_READ_AGE;
        stale && (isolated || self.is_entry())
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
