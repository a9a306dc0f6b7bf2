//! Bounds how many requests cold backend servers get from all gateways together.
//!
//! A backend server that has just started, or has turned cold for another reason, takes a few requests
//! a second for some seconds and may crash if it gets many more. The pace is configured for its service.
//!
//! The argument is that of [`backend_limit`]: a few holders, chosen by rendezvous
//! hashing among all known gateways, each use an equal share and only in the standing
//! [`Counted`](super::membership::Standing::Counted) for [`WINDOW`]; all others send nothing. It needs
//! no message between gateways and holds for those that start, freeze or are cut off. What differs:
//!
//! - The pace is known from the configuration, so it holds from the first request on.
//! - The window is a second, in which saved places weigh more: each holder saves one, and there are as
//!   many holders as the [`Bound`] has room for beside the pace.
//! - The end is known: the server is cold until a time, not until it says otherwise.
//!
//! A gateway takes a server to be cold, as far as it knows, too long rather than too short: what an entry
//! states counts from when it was read, a run that is new to the gateway is cold whatever its entry says,
//! and so is a server to which a connection was lost, until its entry has been able to show a new run.
//! Requests of gateways that don't know yet that a server is cold are what the rest of the bound is for.
//!
//! This answers backend servers that restart under load, and availability zones that are taken back.
//!
//! ```
//! use azuregap_gateway::decision::cold_server;
//! use tokio::time;
//!
//! let (now, warm_up) = (time::Instant::now(), time::Duration::from_secs(3));
//! let bound = cold_server::Bound { overrun: 1.5, slack: 5.0 };
//! let allowance = bound.allowance(11.0);
//! assert_eq!(allowance, cold_server::Allowance { holders: 3, pace: 11.0 });
//! let mut servers = cold_server::ColdServers::default();
//! let zero = time::Duration::ZERO;
//! servers.record_entry(7, &cold_server::Entry { started_ms: 1, cold_left: Some(zero), age: zero }, now);
//! assert_eq!(servers.cold_left(7, warm_up, now), Some(warm_up));
//! assert!(!servers.try_send(7, warm_up, || Some(11.0 / 3.0), now));
//! assert!(servers.try_send(7, warm_up, || Some(11.0 / 3.0), now + warm_up / 2));
//! assert_eq!(servers.cold_left(7, warm_up, now + warm_up), None);
//! ```

mod allowance;
mod bound;
mod cause;
mod entry;
mod server;

use std::collections;
use std::time::Duration;

use tokio::time;

use super::backend_limit;
use super::places;
pub use allowance::Allowance;
pub use bound::Bound;
pub use bound::PLACE_VALIDITY;
pub use cause::Cause;
pub use entry::Entry;

/// Span over which the requests to a cold backend server are bounded.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Places that a holder saves up.
const SAVED_PLACES: f64 = 1.0;

/// Time after a lost connection within which the entry of a backend server shows that it has
/// restarted, or is gone: three intervals between heartbeats, and the delay of the watch.
const DOUBT: Duration = Duration::from_secs(5);

/// Maximum number of backend servers that are remembered.
const MAX_SERVERS: usize = 16_384;

/// What is known of the cold starts of backend servers, by the hash of the server's id.
#[derive(Debug, Default)]
pub struct ColdServers {
    servers: collections::BTreeMap<u32, server::Server>,
}

impl ColdServers {
    /// Records the entry of a backend server as it was read.
    pub fn record_entry(&mut self, backend: u32, entry: &Entry, now: time::Instant) {
        let known = self.servers.get(&backend).map(|server| server.started_ms);
        let server = self.server_mut(backend, entry.started_ms, now);
        if known != Some(entry.started_ms) {
            // A connection may have been lost to this run already.
            let (places, doubted_until) = (server.places, server.doubted_until);
            let new = server::Server::new(entry.started_ms, now);
            *server = server::Server { places, doubted_until, ..new };
            server.since = now.checked_sub(entry.age);
        }
        server.stated_until = None;
        match entry.cold_left {
            Some(Duration::ZERO) => {}
            Some(left) => server.stated_until = now.checked_add(left),
            None => server.since = Some(now),
        }
        if entry.cold_left != Some(Duration::ZERO) && known == Some(entry.started_ms) {
            server.cause = Cause::Entry;
        }
    }

    /// Records that a backend server may have restarted: a connection to it was refused or lost.
    pub fn record_loss(&mut self, backend: u32, now: time::Instant) {
        self.record_doubt(backend, DOUBT, Cause::Loss, now);
    }

    /// Records that a backend server may be cold for some time.
    pub fn record_doubt(&mut self, backend: u32, span: Duration, cause: Cause, now: time::Instant) {
        if let Some(server) = self.servers.get_mut(&backend) {
            server.doubted_until = server.doubted_until.max(now.checked_add(span));
            server.cause = cause;
        }
    }

    /// Records that the availability zone of a backend server was taken back.
    pub fn record_return(&mut self, backend: u32, now: time::Instant) {
        if let Some(server) = self.servers.get_mut(&backend) {
            server.since = Some(now);
            server.cause = Cause::ZoneReturned;
        }
    }

    /// How long a backend server stays cold, if its service takes `warm_up`; `None` if it is warm.
    #[must_use]
    pub fn cold_left(
        &self,
        backend: u32,
        warm_up: Duration,
        now: time::Instant,
    ) -> Option<Duration> {
        self.servers.get(&backend)?.cold_left(warm_up, now)
    }

    /// Whether a gateway may send a request to a backend server. `pace` are the requests per second that
    /// it may send, `None` if it may send none; it is asked for only if the server is cold.
    pub fn place(
        &mut self,
        backend: u32,
        warm_up: Duration,
        pace: impl FnOnce() -> Option<f64>,
        now: time::Instant,
    ) -> backend_limit::Place {
        let server = self.servers.get_mut(&backend);
        let Some(server) = server.filter(|server| server.cold_left(warm_up, now).is_some()) else {
            return backend_limit::Place::Unlimited;
        };
        let Some(pace) = pace() else { return backend_limit::Place::Elsewhere };
        let wait = server.places.wait(places::Rate { pace, saved: SAVED_PLACES }, now);
        backend_limit::Place::Limited { wait, pace }
    }

    /// Takes a place for a request that is sent now; returns whether it may be sent.
    pub fn try_send(
        &mut self,
        backend: u32,
        warm_up: Duration,
        pace: impl FnOnce() -> Option<f64>,
        now: time::Instant,
    ) -> bool {
        let place = self.place(backend, warm_up, pace, now);
        if let backend_limit::Place::Limited { wait: Duration::ZERO, .. } = place
            && let Some(server) = self.servers.get_mut(&backend)
        {
            server.places.take();
        }
        place.is_free()
    }

    /// Notes whether a backend server is cold; returns why it was thought so if that has changed since
    /// it was last noted.
    pub fn note(&mut self, backend: u32, warm_up: Duration, now: time::Instant) -> Option<Cause> {
        let server = self.servers.get_mut(&backend)?;
        let is_cold = server.cold_left(warm_up, now).is_some();
        if is_cold == server.is_noted {
            return None;
        }
        server.is_noted = is_cold;
        if is_cold {
            server.places = places::Places::new(now);
        }
        Some(server.cause)
    }

    fn server_mut(
        &mut self,
        backend: u32,
        started_ms: u64,
        now: time::Instant,
    ) -> &mut server::Server {
        if self.servers.len() >= MAX_SERVERS && !self.servers.contains_key(&backend) {
            let oldest = self.servers.iter().min_by_key(|(_, server)| server.started_ms);
            if let Some(oldest) = oldest.map(|(backend, _)| *backend) {
                self.servers.remove(&oldest);
            }
        }
        self.servers.entry(backend).or_insert_with(|| server::Server::new(started_ms, now))
    }
}
