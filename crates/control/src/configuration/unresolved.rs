//! Configuration changes of this process whose outcome is unknown.

use std::sync;
use std::sync::atomic;

use tokio::time::Instant;

/// Configuration changes of this process whose outcome is unknown. Clones share the same state.
///
/// While there is one, the process must not confirm to peers that nothing newer was accepted.
#[derive(Clone, Debug, Default)]
pub struct UnresolvedChanges {
    in_progress: sync::Arc<atomic::AtomicUsize>,
    abandoned_at: sync::Arc<sync::Mutex<Option<Instant>>>,
}

/// A change in progress. Its outcome counts as unknown if it is dropped without a call of
/// [`PendingChange::settle`].
#[derive(Debug)]
pub struct PendingChange {
    unresolved: UnresolvedChanges,
    settled: bool,
}

impl UnresolvedChanges {
    /// Starts a change.
    #[must_use]
    pub fn begin(&self) -> PendingChange {
        self.in_progress.fetch_add(1, atomic::Ordering::SeqCst);
        PendingChange { unresolved: self.clone(), settled: false }
    }

    /// Returns whether a change is in progress or has an unknown outcome.
    #[must_use]
    pub fn any(&self) -> bool {
        self.in_progress.load(atomic::Ordering::SeqCst) > 0 || self.lock().is_some()
    }

    /// Resolves all changes that were abandoned before `sent`, the time at which a successful read
    /// of the configuration was sent.
    pub fn resolve_before(&self, sent: Instant) {
        let mut abandoned_at = self.lock();
        if abandoned_at.is_some_and(|at| at < sent) {
            *abandoned_at = None;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<Instant>> {
        self.abandoned_at.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl PendingChange {
    /// Marks the outcome as known.
    pub fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for PendingChange {
    fn drop(&mut self) {
        if !self.settled {
            *self.unresolved.lock() = Some(Instant::now());
        }
        self.unresolved.in_progress.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
