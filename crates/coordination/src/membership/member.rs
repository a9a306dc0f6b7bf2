//! State of a known process.

use smallvec::SmallVec;
use tokio::time;

use crate::ids;
use crate::membership;

/// Maximum number of former incarnations that are remembered per process.
pub const MAX_FORMER: usize = 4;

/// State of a known process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member<T> {
    /// State in the platform's list.
    pub listing: membership::Listing,
    /// Current incarnation; `None` until a message from the process arrives.
    pub incarnation: Option<ids::Incarnation>,
    /// Information from the process itself, or from others while the process is silent.
    pub info: Option<T>,
    /// When the last message from the process arrived.
    pub last_message: Option<time::Instant>,
    /// When the process was last listed, reported by others, or heard from.
    pub last_seen: time::Instant,
    /// Whether the process announced that it is leaving.
    pub leaving: bool,
    /// Former incarnations, latest last.
    pub former: SmallVec<[ids::Incarnation; MAX_FORMER]>,
}

impl<T> Member<T> {
    /// Creates the state of a process that is first seen at `now`.
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

    /// Moves the current incarnation to the former ones.
    pub(crate) fn retire_incarnation(&mut self) {
        let Some(incarnation) = self.incarnation.take() else { return };
        if self.former.len() == MAX_FORMER {
            self.former.remove(0);
        }
        self.former.push(incarnation);
    }
}
