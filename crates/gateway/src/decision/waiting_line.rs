//! In which order requests get the places at backend servers with limits.
//!
//! The most urgent request goes first, and of equally urgent ones that with the nearest deadline. A
//! request waits as long as it can be answered on time; then it is refused, so that those that come
//! after it can be on time. While more urgent requests are refused, less urgent ones get no place,
//! except for one each [`FLOOR_INTERVAL`]: no rank starves.
//!
//! This answers services all of whose backend servers name limits below the load.
//!
//! ```
//! use azuregap_gateway::decision::waiting_line;
//! use tokio::time;
//!
//! let now = time::Instant::now();
//! let deadline = now + time::Duration::from_secs(5);
//! let mut line = waiting_line::WaitingLine::default();
//! let chat = line.join(3, deadline, &[], now);
//! let summary = line.join(1, deadline, &[], now);
//! assert_eq!(line.ahead(&chat), 1);
//! assert!(line.is_next(1, Some(&summary), 7, now));
//! line.leave(&summary);
//! assert!(line.is_next(3, Some(&chat), 7, now));
//! ```

use std::collections;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time;

use super::priority;

/// Time after which a rank that got no place gets the next one.
pub const FLOOR_INTERVAL: Duration = Duration::from_secs(5);

/// Time after a refusal in which less urgent requests get no place. The refused caller, or the next
/// one of its rank, comes back in that time.
const YIELD_TIME: Duration = Duration::from_secs(1);

/// Order of a waiting request: its rank, its deadline and the number of its ticket.
type Order = (priority::Rank, time::Instant, u64);

/// A waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(Order);

/// Hashes of the backend servers that a request has been sent to.
type Tried = SmallVec<[u32; 4]>;

/// Requests of one rank.
#[derive(Clone, Copy, Debug)]
struct RankState {
    /// When one of them last got a place, or first waited for one.
    served_at: time::Instant,
    refused_at: Option<time::Instant>,
}

/// Requests of one service that wait for a place at a backend server with a limit.
#[derive(Debug, Default)]
pub struct WaitingLine {
    waiting: collections::BTreeMap<Order, Tried>,
    tickets: u64,
    ranks: collections::BTreeMap<priority::Rank, RankState>,
}

impl WaitingLine {
    /// Lets a request wait that was already sent to the backend servers `tried`.
    pub fn join(
        &mut self,
        rank: priority::Rank,
        deadline: time::Instant,
        tried: &[u32],
        now: time::Instant,
    ) -> Ticket {
        self.rank_mut(rank, now);
        self.tickets += 1;
        let order = (rank, deadline, self.tickets);
        self.waiting.insert(order, tried.iter().copied().collect());
        Ticket(order)
    }

    /// Removes a request that waits no more.
    pub fn leave(&mut self, ticket: &Ticket) {
        self.waiting.remove(&ticket.0);
    }

    /// Records that a request took a place.
    pub fn record_place(&mut self, rank: priority::Rank, now: time::Instant) {
        self.rank_mut(rank, now).served_at = now;
    }

    /// Records that a request was refused.
    pub fn record_refusal(&mut self, rank: priority::Rank, now: time::Instant) {
        self.rank_mut(rank, now).refused_at = Some(now);
    }

    /// Whether a request gets the next place at a backend server. One without a ticket does if no
    /// other waits for it.
    #[must_use]
    pub fn is_next(
        &self,
        rank: priority::Rank,
        ticket: Option<&Ticket>,
        backend: u32,
        now: time::Instant,
    ) -> bool {
        let waiting = self.waiting.iter().filter(|(_, tried)| !tried.contains(&backend));
        let mut waiting = waiting.map(|(order, _)| order);
        let starving = waiting.clone().find(|(rank, ..)| self.is_starving(*rank, now));
        let next = starving.or_else(|| waiting.next());
        let yields = self.is_yielding(rank, now) && !self.is_starving(rank, now);
        !yields && next == ticket.map(|ticket| &ticket.0)
    }

    /// Number of requests that go before a waiting one.
    #[must_use]
    pub fn ahead(&self, ticket: &Ticket) -> usize {
        self.waiting.range(..ticket.0).count()
    }

    /// Whether a rank gets no place since a more urgent request was refused.
    fn is_yielding(&self, rank: priority::Rank, now: time::Instant) -> bool {
        let is_recent = |at: time::Instant| now.saturating_duration_since(at) < YIELD_TIME;
        let mut urgent = self.ranks.range(..rank).map(|(_, state)| state.refused_at);
        urgent.any(|refused_at| refused_at.is_some_and(is_recent))
    }

    fn is_starving(&self, rank: priority::Rank, now: time::Instant) -> bool {
        let since = self.ranks.get(&rank).map(|state| state.served_at);
        since.is_some_and(|at| now.saturating_duration_since(at) >= FLOOR_INTERVAL)
    }

    fn rank_mut(&mut self, rank: priority::Rank, now: time::Instant) -> &mut RankState {
        self.ranks.entry(rank).or_insert(RankState { served_at: now, refused_at: None })
    }
}

/// Time until a request gets a place, if the next one comes up after `next` and then `pace` of them a
/// second, and `ahead` requests go before it; `None` if it gets none.
#[must_use]
pub fn expected_wait(next: Duration, pace: f64, ahead: usize) -> Option<Duration> {
    if ahead == 0 {
        return Some(next);
    }
    next.checked_add(Duration::try_from_secs_f64(ahead as f64 / pace).ok()?)
}

/// Whether a request may wait for so long: until half of the time to its latency target, the rest of
/// which the answer takes; one that has missed it, until half of the time to its deadline.
#[must_use]
pub fn may_wait(wait: Duration, target_left: Duration, left: Duration) -> bool {
    let until = if target_left.is_zero() { left } else { target_left.min(left) };
    !left.is_zero() && wait <= until / 2
}
