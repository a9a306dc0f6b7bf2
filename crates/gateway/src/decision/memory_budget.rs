//! Bounds the memory that a process uses for what clients and backend servers send.
//!
//! One account holds what a process keeps for clients: their connections with their buffers, bodies and
//! answers, running requests with their connections to backend servers, and such connections that are
//! idle. It answers crowds of clients that send much and don't end it, ask for much and don't read it, or
//! are many. Whoever is behind with what it sends or reads gives way to others, the largest and the one
//! that is furthest behind first; a small request never has to wait behind a large one.
//!
//! ```
//! use azuregap_gateway::decision::memory_budget;
//!
//! let mut budget = memory_budget::MemoryBudget::new(Some(1 << 20));
//! let nobody_is_behind = |_| None;
//! let granted = budget.reserve(1, 4_096, nobody_is_behind);
//! assert_eq!(granted, memory_budget::Outcome::Granted);
//! ```

mod reservation;

use std::collections;
use std::time::Duration;

use super::progress;

pub use reservation::Reservation;

/// Part of the memory that a process needs for itself.
const OWN_BYTES: usize = 24 << 20;

/// Share of the remaining memory that is the budget, as a numerator and a denominator; the rest is for what
/// the allocator keeps.
const BUDGET_SHARE: (usize, usize) = (3, 4);

/// Memory of a connection on which nothing was sent yet.
pub const SILENT_BYTES: usize = 4 << 10;

/// What a connection needs beyond that once something was sent on it: buffers for reading, beside a head
/// that is in use, and for writing.
pub const BUFFER_BYTES: usize = 26 << 10;

/// Memory of a request that runs, with its connection to a backend server.
pub const RUN_BYTES: usize = 22 << 10;

/// Memory of an idle connection to a backend server.
pub const IDLE_BACKEND_BYTES: usize = 18 << 10;

/// A holder with at most so many bytes may use all of the budget: a request that runs, and a body or an
/// answer of some length.
const SMALL_BYTES: usize = 128 << 10;

/// Parts of the budget of which one is kept for small holders.
const SMALL_PARTS: usize = 8;

/// Client connection that memory is held for.
pub type HolderId = u64;

/// Holder of the idle connections to backend servers.
pub const IDLE_BACKENDS: HolderId = 0;

/// Whether bytes may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// There is room for them.
    Granted,
    /// There is room for them once this holder has been closed.
    GrantedFor(HolderId),
    /// There is no room.
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    bytes: usize,
    /// Whether it gives way to another one.
    gives_way: bool,
}

/// Bytes that may be held at the same time, and those that are.
#[derive(Debug, Default)]
pub struct MemoryBudget {
    /// `None` without a limit.
    limit: Option<usize>,
    used: usize,
    /// Bytes of those that give way.
    leaving: usize,
    holders: collections::HashMap<HolderId, Holder>,
}

impl MemoryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new(limit: Option<usize>) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Creates the budget of a process that may use so many bytes of its VM.
    #[must_use]
    pub fn for_process(memory: Option<usize>) -> Self {
        let (share, whole) = BUDGET_SHARE;
        Self::new(memory.map(|memory| memory.saturating_sub(OWN_BYTES) / whole * share))
    }

    /// Bytes that are held.
    #[must_use]
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Reserves bytes for a holder. `lag` tells how far the client of a holder is behind, if the process
    /// waits for it.
    pub fn reserve(
        &mut self,
        id: HolderId,
        bytes: usize,
        lag: impl Fn(HolderId) -> Option<Duration>,
    ) -> Outcome {
        let outcome = self.decide(id, bytes, lag);
        if let Outcome::GrantedFor(victim) = outcome
            && let Some(victim) = self.holders.get_mut(&victim)
        {
            victim.gives_way = true;
            self.leaving += victim.bytes;
        }
        if outcome != Outcome::Refused {
            let holder = self.holders.entry(id).or_default();
            holder.bytes += bytes;
            self.used += bytes;
            self.leaving += if holder.gives_way { bytes } else { 0 };
        }
        outcome
    }

    fn decide(
        &self,
        id: HolderId,
        bytes: usize,
        lag: impl Fn(HolderId) -> Option<Duration>,
    ) -> Outcome {
        let Some(limit) = self.limit else { return Outcome::Granted };
        let own = self.holders.get(&id).map_or(0, |holder| holder.bytes) + bytes;
        let limit = if own <= SMALL_BYTES { limit } else { limit - limit / SMALL_PARTS };
        if own > limit {
            return Outcome::Refused;
        }
        let missing = (self.used.saturating_sub(self.leaving) + bytes).saturating_sub(limit);
        if missing == 0 {
            return Outcome::Granted;
        }
        let candidates = self.holders.iter().filter_map(|(other, holder)| {
            let lag = lag(*other).filter(|lag| *lag >= progress::MIN_LAG)?;
            let may_go = *other != id && !holder.gives_way && holder.bytes >= missing;
            may_go.then_some((size_class(holder.bytes), lag, *other))
        });
        candidates.max().map_or(Outcome::Refused, |(.., victim)| Outcome::GrantedFor(victim))
    }

    /// Lets a holder that was to give way keep its bytes.
    pub fn keep(&mut self, id: HolderId) {
        let Some(holder) = self.holders.get_mut(&id).filter(|holder| holder.gives_way) else {
            return;
        };
        holder.gives_way = false;
        self.leaving = self.leaving.saturating_sub(holder.bytes);
    }

    /// Returns bytes of a holder.
    pub fn release(&mut self, id: HolderId, bytes: usize) {
        self.used = self.used.saturating_sub(bytes);
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.bytes = holder.bytes.saturating_sub(bytes);
        if holder.gives_way {
            self.leaving = self.leaving.saturating_sub(bytes);
        }
        if holder.bytes == 0 {
            self.holders.remove(&id);
        }
    }
}

/// Holders whose sizes differ by less than a factor of two are alike.
fn size_class(bytes: usize) -> u32 {
    bytes.checked_ilog2().unwrap_or_default()
}
