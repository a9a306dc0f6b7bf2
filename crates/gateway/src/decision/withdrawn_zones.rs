//! Availability zones whose backend servers must get no requests.
//!
//! The operator withdraws a zone by writing a row and takes it back by removing the row. The newest
//! known state stays in force while the store doesn't answer.
//!
//! ```
//! use azuregap_gateway::decision::withdrawn_zones;
//!
//! let mut zones = withdrawn_zones::WithdrawnZones::default();
//! assert!(zones.withdraw("north"));
//! assert!(!zones.withdraw("north"));
//! assert!(zones.contains("north"));
//! assert!(zones.take_back("north"));
//! assert!(!zones.contains("north"));
//! ```

use std::collections;

use azuregap_core::ids;

/// Availability zones that the operator has withdrawn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WithdrawnZones {
    zones: collections::BTreeSet<ids::ZoneId>,
}

impl WithdrawnZones {
    /// Whether the backend servers of a zone must get no requests.
    #[must_use]
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.contains(zone)
    }

    /// Records that a zone is withdrawn; returns whether it was not before.
    pub fn withdraw(&mut self, zone: &str) -> bool {
        self.zones.insert(zone.to_owned())
    }

    /// Records that a zone is taken back; returns whether it was withdrawn before.
    pub fn take_back(&mut self, zone: &str) -> bool {
        self.zones.remove(zone)
    }

    /// The zones, in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().map(String::as_str)
    }
}
