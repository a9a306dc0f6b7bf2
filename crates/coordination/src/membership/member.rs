//! What is known of one process.

use smallvec::SmallVec;
use tokio::time;

use crate::ids;
use crate::membership;

/// How many former incarnations of a process are remembered.
pub const MAX_FORMER: usize = 4;

/// What is known of one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member<T> {
    /// What the platform's list says.
    pub listing: membership::Listing,
    /// Its incarnation, once it spoke.
    pub incarnation: Option<ids::Incarnation>,
    /// What it said of itself, or what others told of it before it spoke.
    pub info: Option<T>,
    /// When it spoke last.
    pub last_message: Option<time::Instant>,
    /// When it was last seen in any way.
    pub last_seen: time::Instant,
    /// Whether it said that it leaves.
    pub leaving: bool,
    /// Its former incarnations, the latest last.
    pub former: SmallVec<[ids::Incarnation; MAX_FORMER]>,
}

impl<T> Member<T> {
    /// A process that was seen now for the first time.
    pub(crate) fn new(now: time::Instant) -> Self {
        Self {
            listing: membership::Listing::Absent,
            incarnation: None,
            info: None,
            last_message: None,
            last_seen: now,
            leaving: false,
            former: SmallVec::new(),
        }
    }

    /// Remembers the present incarnation as a former one.
    pub(crate) fn retire(&mut self) {
        let Some(incarnation) = self.incarnation.take() else { return };
        if self.former.len() == MAX_FORMER {
            self.former.remove(0);
        }
        self.former.push(incarnation);
    }
}
