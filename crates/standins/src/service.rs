//! State behind fault switches.

use std::fmt;
use std::sync;
use std::time;

use azuregap_platform::error;
use tokio::sync::watch;

use crate::faults;

/// Whether a call changes something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It only reads.
    Read,
    /// It changes something, so its answer can be lost after the effect.
    Change,
}

/// A service of the platform: its state and its fault switches, shared by all clones.
pub struct Service<S> {
    state: sync::Arc<sync::Mutex<S>>,
    faults: sync::Arc<watch::Sender<faults::Faults>>,
}

impl<S> Clone for Service<S> {
    fn clone(&self) -> Self {
        Self { state: self.state.clone(), faults: self.faults.clone() }
    }
}

impl<S> fmt::Debug for Service<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service").field("faults", &*self.faults.borrow()).finish_non_exhaustive()
    }
}

impl<S: Default> Default for Service<S> {
    fn default() -> Self {
        Self::new(S::default())
    }
}

impl<S> Service<S> {
    /// A service without faults around `state`.
    #[must_use]
    pub fn new(state: S) -> Self {
        let (faults, _) = watch::channel(faults::Faults::default());
        Self { state: sync::Arc::new(sync::Mutex::new(state)), faults: sync::Arc::new(faults) }
    }

    /// Replaces the fault switches.
    pub fn set_faults(&self, faults: faults::Faults) {
        self.faults.send_replace(faults);
    }

    /// The fault switches as they are now.
    #[must_use]
    pub fn faults(&self) -> faults::Faults {
        self.faults.borrow().clone()
    }

    /// Looks at or changes the state, past all faults.
    ///
    /// # Panics
    ///
    /// When an earlier user of the state panicked.
    pub fn with<T>(&self, look: impl FnOnce(&mut S) -> T) -> T {
        look(&mut self.state.lock().expect("no user of the state panicked"))
    }

    async fn pass<T>(
        self,
        effect: Effect,
        apply: impl FnOnce(&mut S) -> error::PlatformResult<T>,
    ) -> error::PlatformResult<T> {
        let before = self.faults();
        tokio::time::sleep(before.delay).await;
        let mut watch = self.faults.subscribe();
        let thawed = watch.wait_for(|faults| !faults.freeze).await;
        let faults = thawed.map_err(|_| unknown("the service is gone"))?.clone();
        if faults.refuse {
            return Err(error::PlatformError::Refused("the service takes no calls".to_owned()));
        }
        if faults.outage {
            return Err(unknown("outage"));
        }
        let result = self.with(apply);
        tokio::time::sleep(faults.answer_delay).await;
        if effect == Effect::Change && self.loses_answer() {
            return Err(unknown("the answer was lost"));
        }
        result
    }

    fn loses_answer(&self) -> bool {
        let mut lost = false;
        self.faults.send_modify(|faults| lost = faults.loses_answer());
        lost
    }
}

impl<S: Send + 'static> Service<S> {
    /// Passes one call through the fault switches. The call goes on when its caller gives up.
    ///
    /// # Errors
    ///
    /// What `apply` gives, or what the fault switches make of it.
    pub async fn call<T: Send + 'static>(
        &self,
        effect: Effect,
        apply: impl FnOnce(&mut S) -> error::PlatformResult<T> + Send + 'static,
    ) -> error::PlatformResult<T> {
        let passing = tokio::spawn(self.clone().pass(effect, apply));
        passing.await.map_err(|error| unknown(&error.to_string()))?
    }

    /// Like [`Service::call`], for a caller that waits no longer than `timeout`.
    ///
    /// # Errors
    ///
    /// As [`Service::call`]; [`error::PlatformError::Unknown`] when the time is over.
    pub async fn call_within<T: Send + 'static>(
        &self,
        timeout: time::Duration,
        effect: Effect,
        apply: impl FnOnce(&mut S) -> error::PlatformResult<T> + Send + 'static,
    ) -> error::PlatformResult<T> {
        let call = self.call(effect, apply);
        tokio::time::timeout(timeout, call).await.map_err(|_| unknown("no answer in time"))?
    }
}

fn unknown(reason: &str) -> error::PlatformError {
    error::PlatformError::Unknown(reason.to_owned())
}
