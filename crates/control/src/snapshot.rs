//! The configuration in force at this process.

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
    /// Its version; 0 means none was heard of yet.
    pub version: ids::Version,
    /// What operators declared.
    pub intent: intent::Intent,
    /// Grants by the digest of their key.
    pub keys: collections::HashMap<key::Digest, intent::KeyGrant>,
}

impl Snapshot {
    /// Indexes `intent`.
    #[must_use]
    pub fn new(version: ids::Version, intent: intent::Intent) -> Self {
        let keys = intent.keys.iter().map(|grant| (grant.digest, grant.clone())).collect();
        Self { version, intent, keys }
    }
}

/// Shares the configuration in force; found in the registry under [`Handle::NAME`].
#[derive(Clone, Debug)]
pub struct Handle {
    current: sync::Arc<ArcSwap<Snapshot>>,
    fresh: sync::Arc<ArcSwapOption<time::Instant>>,
    versions: sync::Arc<watch::Sender<ids::Version>>,
}

impl Default for Handle {
    fn default() -> Self {
        let empty = Snapshot::new(0, intent::Intent::default());
        Self {
            current: sync::Arc::new(ArcSwap::from_pointee(empty)),
            fresh: sync::Arc::default(),
            versions: sync::Arc::default(),
        }
    }
}

impl Handle {
    /// Name in the registry.
    pub const NAME: &'static str = "configuration";

    /// The snapshot in force.
    #[must_use]
    pub fn load(&self) -> sync::Arc<Snapshot> {
        self.current.load_full()
    }

    /// Puts `snapshot` in force if it is newer; answers whether it was.
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

    /// Tells of each version that is put in force.
    #[must_use]
    pub fn versions(&self) -> watch::Receiver<ids::Version> {
        self.versions.subscribe()
    }

    /// Notes that at `instant` the version in force was known to be the newest.
    pub fn mark_fresh(&self, instant: time::Instant) {
        self.fresh.rcu(|fresh| match fresh {
            Some(known) if **known >= instant => fresh.clone(),
            _ => Some(sync::Arc::new(instant)),
        });
    }

    /// How long ago the version in force was last known to be the newest; [`Duration::MAX`] while
    /// that was never known.
    ///
    /// [`Duration::MAX`]: std::time::Duration::MAX
    #[must_use]
    pub fn age(&self) -> std::time::Duration {
        self.fresh.load().as_ref().map_or(std::time::Duration::MAX, |fresh| fresh.elapsed())
    }
}
