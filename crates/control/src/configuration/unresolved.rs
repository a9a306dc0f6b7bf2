//! Changes of this process whose outcome it does not know.

use std::sync;
use std::sync::atomic;

use tokio::time::Instant;

/// Changes of this process whose outcome it does not know; clones share them.
///
/// While there is one, the process must not tell others that nothing newer was accepted.
#[derive(Clone, Debug, Default)]
pub struct UnresolvedChanges {
    under_way: sync::Arc<atomic::AtomicUsize>,
    since: sync::Arc<sync::Mutex<Option<Instant>>>,
}

/// A change under way; dropping it leaves the outcome in doubt unless [`PendingChange::settle`] was
/// called.
#[derive(Debug)]
pub struct PendingChange {
    unresolved: UnresolvedChanges,
    settled: bool,
}

impl UnresolvedChanges {
    /// Begins a change.
    #[must_use]
    pub fn begin(&self) -> PendingChange {
        self.under_way.fetch_add(1, atomic::Ordering::SeqCst);
        PendingChange { unresolved: self.clone(), settled: false }
    }

    /// Whether the outcome of a change is not known.
    #[must_use]
    pub fn any(&self) -> bool {
        self.under_way.load(atomic::Ordering::SeqCst) > 0 || self.lock().is_some()
    }

    /// The configuration was read; the read was sent at `sent`. It tells the outcome of every
    /// change that was given up before.
    pub fn resolve_before(&self, sent: Instant) {
        let mut since = self.lock();
        if since.is_some_and(|since| since < sent) {
            *since = None;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<Instant>> {
        self.since.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl PendingChange {
    /// The outcome is known.
    pub fn settle(mut self) {
        self.settled = true;
    }
}

impl Drop for PendingChange {
    fn drop(&mut self) {
        if !self.settled {
            *self.unresolved.lock() = Some(Instant::now());
        }
        self.unresolved.under_way.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}
