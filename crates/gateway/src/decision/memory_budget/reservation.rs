//! Bytes that a holder has reserved.

use std::sync;
use std::time::Duration;

use super::HolderId;
use super::MemoryBudget;
use super::Outcome;

/// Bytes that a holder has reserved; they are returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: sync::Arc<sync::Mutex<MemoryBudget>>,
    holder: HolderId,
    bytes: usize,
}

impl Reservation {
    /// Creates an empty reservation.
    #[must_use]
    pub const fn new(budget: sync::Arc<sync::Mutex<MemoryBudget>>, holder: HolderId) -> Self {
        Self { budget, holder, bytes: 0 }
    }

    /// Reserves more bytes; see [`MemoryBudget::reserve`].
    pub fn grow(&mut self, bytes: usize, lag: impl Fn(HolderId) -> Option<Duration>) -> Outcome {
        let outcome = lock(&self.budget).reserve(self.holder, bytes, lag);
        if outcome != Outcome::Refused {
            self.bytes += bytes;
        }
        outcome
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        lock(&self.budget).release(self.holder, self.bytes);
    }
}

/// A budget that a panic has left is still consistent.
fn lock(budget: &sync::Mutex<MemoryBudget>) -> sync::MutexGuard<'_, MemoryBudget> {
    budget.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
