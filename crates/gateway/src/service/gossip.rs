//! Exchanges load and usage counts with the other gateways over UDP.

use std::net;
use std::rc;
use std::time::Duration;

use azuregap_core::ids;
use tokio::net as tokio_net;
use tokio::time;

use super::gateway_list;
use super::limit_rows;
use super::quarantine_rows;
use crate::backend_limits;
use crate::cold_servers;
use crate::decision::gossip_timing;
use crate::decision::quarantine;
use crate::decision::usage_counts;
use crate::directory;
use crate::peers;
use crate::state;
use crate::store;
use crate::suspects;

/// Delay after a failed receive.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Newest usage windows whose counts are sent; given the report deadline, these include all windows
/// that may still be unreported.
const SENT_WINDOWS: usize = 4;

/// Interval at which a gateway checks whether it must ask for the counts.
const REPORTING_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Share of the interval between two requests for the counts over which the datagrams are spread.
const REQUEST_SHARE: f64 = 0.5;

/// Requests that are sent without a pause.
const REQUEST_BATCH: usize = 16;

/// Interval at which a gateway introduces itself to those that haven't answered.
const INTRODUCTION_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a batch of introductions; they are sent at half the rate at which messages take two
/// percent of a core.
const INTRODUCTION_PAUSE: Duration = Duration::from_millis(64);

/// Minimum interval between two messages with news.
const NEWS_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Maximum cached segments per datagram, of at most 15 bytes each. Others are read again before they
/// matter: a segment is told each time that a request with it has started.
const MAX_SEGMENTS: usize = 100;

/// Maximum counts per datagram, of at most 12 bytes each; further counts go into more datagrams.
const MAX_COUNTS: usize = 800;

/// Maximum bytes per datagram for the names of teams that were removed.
const MAX_NAME_BYTES: usize = 4 * 1024;

/// Registers this gateway and exchanges messages with the others; never returns.
pub async fn run(
    state: rc::Rc<state::State>,
    store: rc::Rc<store::Store>,
    socket: tokio_net::UdpSocket,
    incarnation: ids::Incarnation,
) {
    let socket = rc::Rc::new(socket);
    let list = gateway_list::maintain(state.clone(), store.clone());
    let sender = rc::Rc::new(Sender { state, socket, incarnation });
    let receive = receive(sender.clone());
    let counts = futures::future::join(send_counts(sender.clone()), request_counts(sender.clone()));
    let save = futures::future::join(
        quarantine_rows::save(sender.state.clone(), store.clone()),
        limit_rows::save(sender.state.clone(), store),
    );
    let news = futures::future::join3(send_news(sender.clone()), introduce(sender.clone()), save);
    futures::future::join5(list, send_loads(sender), counts, receive, news).await;
}

/// Sends messages to other gateways.
struct Sender {
    state: rc::Rc<state::State>,
    socket: rc::Rc<tokio_net::UdpSocket>,
    incarnation: ids::Incarnation,
}

impl Sender {
    async fn send(&self, message: &peers::GossipMessage, addresses: &[net::SocketAddr]) {
        let bytes = message.encode();
        for address in addresses {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                tracing::debug!(reason = error.to_string(), %address, "failed to send a message");
            }
        }
    }

    /// Sends its own counts and those of silent processes to the gateway that asked for them.
    async fn answer_request(&self, address: net::SocketAddr) {
        self.send_counts(&[address]).await;
        let silence = gossip_timing::count_interval(self.state.gateway_count()) * 2;
        let now = self.state.median_clock.borrow().time_at(self.state.clock.now());
        let silent: Vec<_> =
            self.state.peers.borrow().counts().of_silent(silence, SENT_WINDOWS, now).collect();
        let mut message = load_message(&self.state, self.incarnation);
        message.loads.clear();
        for process in silent {
            for chunk in process.counts.chunks(MAX_COUNTS) {
                let relayed = peers::RelayedCounts {
                    node: process.node.clone(),
                    incarnation: process.incarnation,
                    counts: chunk.to_vec(),
                };
                if let Some(notice) = &mut message.notice {
                    notice.relayed = vec![relayed];
                }
                message.teams = told_teams(&self.state, chunk);
                self.send(&message, &[address]).await;
            }
        }
    }

    /// Sends the load and the counts, in as many datagrams as the counts need.
    async fn send_counts(&self, addresses: &[net::SocketAddr]) {
        let counts = recent_counts(&self.state);
        let mut message = load_message(&self.state, self.incarnation);
        if let Some(notice) = &mut message.notice {
            notice.totals = Some(self.state.usage_counts.borrow().totals(SENT_WINDOWS));
        }
        if counts.is_empty() {
            return self.send(&message, addresses).await;
        }
        for chunk in counts.chunks(MAX_COUNTS) {
            message.counts = chunk.to_vec();
            message.teams = told_teams(&self.state, chunk);
            self.send(&message, addresses).await;
        }
    }
}

/// Sends the load to the neighbours at regular intervals; in a small fleet the counts as well.
async fn send_loads(sender: rc::Rc<Sender>) {
    let state = &sender.state;
    loop {
        let now = state.clock.now();
        state.peers.borrow_mut().remove_expired(now);
        let addresses = state.peers.borrow().neighbours(&state.settings.node, now);
        if state.peers.borrow().is_partial_mesh() {
            sender.send(&load_message(state, sender.incarnation), &addresses).await;
        } else {
            sender.send_counts(&addresses).await;
        }
        state.read_segments.borrow_mut().clear();
        cold_servers::report_changes(state, None);
        adjust_clock(state);
        state.pool.prune();
        time::sleep(gossip_timing::load_interval(addresses.len())).await;
    }
}

/// Sends news to some gateways at once; each of them passes on what is news to it, so that it is known
/// everywhere after a few messages.
async fn send_news(sender: rc::Rc<Sender>) {
    let state = &sender.state;
    let mut changes = state.news.subscribe();
    // The sender is part of the state, so the channel stays open.
    while changes.changed().await.is_ok() {
        let draw = rand::random();
        let addresses = state.peers.borrow().news_recipients(draw);
        let mut message = load_message(state, sender.incarnation);
        message.cached.clear();
        sender.send(&message, &addresses).await;
        time::sleep(NEWS_INTERVAL).await;
    }
}

/// In a large fleet, asks each gateway that was listed before this one for a message. In a small one
/// they send their load to each other anyway.
async fn introduce(sender: rc::Rc<Sender>) {
    let state = &sender.state;
    loop {
        time::sleep(INTRODUCTION_INTERVAL).await;
        let addresses = awaited_addresses(state);
        if addresses.is_empty() {
            continue;
        }
        let mut message = load_message(state, sender.incarnation);
        (message.cached, message.is_introduction) = (Vec::new(), true);
        for batch in addresses.chunks(REQUEST_BATCH) {
            sender.send(&message, batch).await;
            time::sleep(INTRODUCTION_PAUSE).await;
        }
    }
}

/// Addresses of the gateways to which this one introduces itself.
fn awaited_addresses(state: &state::State) -> Vec<net::SocketAddr> {
    let (peers, membership) = (state.peers.borrow(), state.membership.borrow());
    if !peers.is_partial_mesh() {
        return Vec::new();
    }
    membership.awaited().filter_map(|node| peers.address_of(node)).collect()
}

/// In a large fleet, sends the counts to the gateways that may report usage at regular intervals.
async fn send_counts(sender: rc::Rc<Sender>) {
    let state = &sender.state;
    loop {
        let interval = gossip_timing::count_interval(state.gateway_count());
        let addresses = state.peers.borrow().reporters(interval, state.clock.now());
        if state.peers.borrow().is_partial_mesh() {
            sender.send_counts(&addresses).await;
        }
        time::sleep(interval).await;
    }
}

/// While this gateway reports usage, asks all others for their counts: at once when it becomes the
/// reporter, then at regular intervals as long as they don't come by themselves.
///
/// Any gateway may become the reporter, also one to which the others send no counts.
async fn request_counts(sender: rc::Rc<Sender>) {
    let state = &sender.state;
    let mut reporting = state.reporting.subscribe();
    let (mut current, mut since) = (None, state.clock.now());
    loop {
        let fence = *reporting.borrow_and_update();
        if fence != current {
            (current, since) = (fence, state.clock.now());
        }
        let collecting = state.clock.now().saturating_duration_since(since);
        let requests = state.peers.borrow().requests_counts(collecting);
        let Some(fence) = fence.filter(|_| requests) else {
            // The sender is part of the state, so the channel stays open.
            let _ = time::timeout(REPORTING_CHECK_INTERVAL, reporting.changed()).await;
            continue;
        };
        let started = time::Instant::now();
        let interval = gossip_timing::count_interval(state.gateway_count());
        let addresses: Vec<_> = state.peers.borrow().addresses().collect();
        let mut message = load_message(state, sender.incarnation);
        message.loads.clear();
        if let Some(notice) = &mut message.notice {
            notice.counts_wanted = Some(fence);
        }
        let pause = interval.mul_f64(REQUEST_SHARE) / addresses.len().max(1) as u32;
        for batch in addresses.chunks(REQUEST_BATCH) {
            sender.send(&message, batch).await;
            time::sleep(pause * REQUEST_BATCH as u32).await;
        }
        let rest = interval.saturating_sub(started.elapsed());
        // Ends early if another gateway has become the reporter.
        let _ = time::timeout(rest, reporting.changed()).await;
    }
}

/// Builds a message with the current load and without counts.
fn load_message(state: &state::State, incarnation: ids::Incarnation) -> peers::GossipMessage {
    let backend_load = |server: &directory::BackendState| {
        peers::BackendLoad::from((server.hash, &server.own_load))
    };
    let busy = |server: &&directory::BackendState| server.own_load != directory::Load::default();
    let suspects = state.quarantine.borrow_mut().tell(state.time_of_day());
    let wall_time = state.median_clock.borrow().tell(state.clock.now(), state.clock.wall());
    peers::GossipMessage {
        node: state.settings.node.clone(),
        incarnation,
        wall_time,
        loads: state.directory.borrow().all().filter(busy).map(backend_load).collect(),
        counts: Vec::new(),
        cached: state.read_segments.borrow().iter().copied().take(MAX_SEGMENTS).collect(),
        news: peers::News {
            segments: suspects.iter().filter_map(quarantine::Suspect::as_segment).collect(),
            leaving: state.directory.borrow().recently_leaving(time::Instant::now()),
            configuration: state.configuration().map(|configuration| configuration.version),
        },
        limits: state.backend_limits.borrow_mut().tell(state.clock.now()),
        is_introduction: false,
        suspects: Some(suspects),
        teams: Vec::new(),
        notice: Some(peers::UsageNotice {
            can_report: state.freshness.borrow().is_store_answering() && !state.is_stopping(),
            is_leaving: state.is_stopping(),
            ..peers::UsageNotice::default()
        }),
    }
}

/// Names that the recipients of counts may not know, as many as a datagram takes beside them.
fn told_teams(state: &state::State, counts: &[peers::UsageCount]) -> Vec<ids::TeamId> {
    let mut left = MAX_NAME_BYTES;
    let fits = |name: &ids::TeamId| {
        let rest = left.checked_sub(name.len() + 1);
        left = rest.unwrap_or(left);
        rest.is_some()
    };
    state.unlisted_teams(counts).into_iter().take_while(fits).collect()
}

fn recent_counts(state: &state::State) -> Vec<peers::UsageCount> {
    let count = |(window, team, requests)| peers::UsageCount { window, team, requests };
    state.usage_counts.borrow().newest(SENT_WINDOWS).map(count).collect()
}

fn adjust_clock(state: &state::State) {
    let now = state.clock.now();
    let others = state.peers.borrow().clock_estimates(now);
    let wall = state.clock.wall();
    state.median_clock.borrow_mut().adjust(now, wall, others);
    let (time, length) = (state.median_clock.borrow().time_at(now), state.settings.usage_window);
    state.peers.borrow_mut().prune_counts(usage_counts::window_at(time, length), length);
}

/// Takes over what another gateway tells, and passes it on if it is new.
fn receive_news(state: &state::State, message: &peers::GossipMessage) {
    let news = &message.news;
    let mut is_new = suspects::record_told(state, &message.told_suspects(), &message.node);
    for leaving in &news.leaving {
        let now = time::Instant::now();
        is_new |= state.directory.borrow_mut().record_told_leaving(leaving, now);
    }
    for told in &message.limits {
        is_new |= backend_limits::record_told(state, told, &message.node);
    }
    if let Some(version) = news.configuration {
        state.told_version.borrow_mut().record(version, state.clock.now());
    }
    if is_new {
        state.announce_news();
    }
}

async fn receive(sender: rc::Rc<Sender>) {
    let (state, socket) = (&sender.state, &sender.socket);
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                tracing::debug!(reason = error.to_string(), "failed to receive a datagram");
                time::sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match peers::GossipMessage::decode(&buffer[..length]) {
            Ok(mut message) => {
                let now = state.clock.now();
                message.discard_relayed(&state.settings.node, sender.incarnation);
                // The requests for the counts show a gateway that its counts arrive.
                let is_requested = message.notice.is_some() && state.reporting.borrow().is_some();
                state.directory.borrow_mut().record_reads(&message.cached, time::Instant::now());
                receive_news(state, &message);
                state.remember_teams(&message.teams);
                state.membership.borrow_mut().record_message(&message.node, now);
                let reply = state.peers.borrow_mut().handle_message(message, from, now);
                match reply {
                    peers::Reply::Counts => sender.answer_request(from).await,
                    peers::Reply::Acknowledgement if !is_requested => {
                        sender.send(&load_message(state, sender.incarnation), &[from]).await;
                    }
                    peers::Reply::Introduction => {
                        let mut message = load_message(state, sender.incarnation);
                        message.cached.clear();
                        sender.send(&message, &[from]).await;
                    }
                    peers::Reply::Acknowledgement | peers::Reply::None => {}
                }
            }
            Err(error) => {
                tracing::warn!(reason = error.to_string(), %from, "received an invalid datagram");
            }
        }
    }
}
