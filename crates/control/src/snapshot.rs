//! The active configuration of this process.

use std::collections;
use std::sync;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::key;
use tokio::sync::watch;
use tokio::time;

/// One version of the configuration, indexed for the data path.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Configuration version; 0 until one is known.
    pub version: ids::Version,
    /// The intent declared by operators.
    pub intent: intent::Intent,
    /// Key grants by key digest.
    pub keys: collections::HashMap<key::Digest, intent::KeyGrant>,
}

impl Snapshot {
    /// Builds the index of `intent`.
    #[must_use]
    pub fn new(version: ids::Version, intent: intent::Intent) -> Self {
        let keys = intent.keys.iter().map(|grant| (grant.digest, grant.clone())).collect();
        Self { version, intent, keys }
    }
}

/// Shared access to the active configuration, registered under [`Handle::NAME`].
#[derive(Clone, Debug)]
pub struct Handle {
    current: sync::Arc<ArcSwap<Snapshot>>,
    fresh_at: sync::Arc<ArcSwapOption<time::Instant>>,
    versions: sync::Arc<watch::Sender<ids::Version>>,
}

impl Default for Handle {
    fn default() -> Self {
        let empty = Snapshot::new(0, intent::Intent::default());
        Self {
            current: sync::Arc::new(ArcSwap::from_pointee(empty)),
            fresh_at: sync::Arc::default(),
            versions: sync::Arc::default(),
        }
    }
}

impl Handle {
    /// Registry name.
    pub const NAME: &'static str = "configuration";

    /// Returns the active snapshot.
    #[must_use]
    pub fn load(&self) -> sync::Arc<Snapshot> {
        self.current.load_full()
    }

    /// Activates `snapshot` if it is newer than the active one, and returns whether it was.
    pub fn advance(&self, snapshot: Snapshot) -> bool {
        let snapshot = sync::Arc::new(snapshot);
        let before = self.current.rcu(|current| {
            if snapshot.version > current.version { snapshot.clone() } else { current.clone() }
        });
        self.versions.send_if_modified(|version| {
            let newer = snapshot.version > *version;
            *version = snapshot.version.max(*version);
            newer
        });
        snapshot.version > before.version
    }

    /// Subscribes to the versions that become active.
    #[must_use]
    pub fn versions(&self) -> watch::Receiver<ids::Version> {
        self.versions.subscribe()
    }

    /// Records that the active version was known to be the newest at `instant`.
    pub fn mark_fresh(&self, instant: time::Instant) {
        self.fresh_at.rcu(|fresh| match fresh {
            Some(known) if **known >= instant => fresh.clone(),
            _ => Some(sync::Arc::new(instant)),
        });
    }

    /// Returns the time since the active version was last known to be the newest, or
    /// [`Duration::MAX`] if it never was.
    ///
    /// [`Duration::MAX`]: std::time::Duration::MAX
    #[must_use]
    pub fn age(&self) -> std::time::Duration {
        self.fresh_at.load().as_ref().map_or(std::time::Duration::MAX, |fresh| fresh.elapsed())
    }
}
