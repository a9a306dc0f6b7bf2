//! Notices that the store has lost the newest configuration.
//!
//! A store that comes back from a copy may have an older configuration until the operator has
//! written the newest one again. A gateway that starts meanwhile reads the older one, in which keys
//! are valid that were withdrawn since. Gateways that ran before tell it their version. If the store
//! confirms an older one after that, it has lost the newer one, and the older one must not be
//! enforced. In normal operation the store has whatever another gateway has read from it.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::told_version;
//! use tokio::time;
//!
//! let (now, second) = (time::Instant::now(), Duration::from_secs(1));
//! let mut told = told_version::ToldVersion::default();
//! told.record(5, now);
//! assert!(!told.is_lost(3, Some(now - second), now + second));
//! assert!(told.is_lost(3, Some(now + second), now + second));
//! assert!(!told.is_lost(5, Some(now + second), now + second));
//! ```

use std::time::Duration;

use azuregap_core::ids;
use tokio::time;

/// Time for which a version counts that no gateway has told again.
const VALIDITY: Duration = Duration::from_secs(8);

/// The newest version of the configuration that another gateway has in force.
#[derive(Clone, Copy, Debug, Default)]
pub struct ToldVersion {
    told: Option<Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    version: ids::Version,
    first_at: time::Instant,
    last_at: time::Instant,
}

impl ToldVersion {
    /// Records the version of another gateway.
    pub fn record(&mut self, version: ids::Version, now: time::Instant) {
        match &mut self.told {
            Some(told) if told.is_valid(now) && told.version > version => {}
            Some(told) if told.is_valid(now) && told.version == version => told.last_at = now,
            told => *told = Some(Told { version, first_at: now, last_at: now }),
        }
    }

    /// Whether the store has lost a version that is newer than `own`; `confirmed_at` is when it was
    /// last asked and confirmed that one.
    #[must_use]
    pub fn is_lost(
        &self,
        own: ids::Version,
        confirmed_at: Option<time::Instant>,
        now: time::Instant,
    ) -> bool {
        let told = self.told.filter(|told| told.is_valid(now) && told.version > own);
        told.zip(confirmed_at).is_some_and(|(told, confirmed_at)| confirmed_at > told.first_at)
    }
}

impl Told {
    fn is_valid(&self, now: time::Instant) -> bool {
        now.saturating_duration_since(self.last_at) < VALIDITY
    }
}
