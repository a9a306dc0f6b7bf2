//! A table service in memory that loses answers.

use std::collections;

use azuregap_coordination::store;
use rand::RngExt as _;

/// A write that was not answered and may still be applied.
struct Lingering {
    conditions: Vec<(String, u64)>,
    key: String,
    value: serde_json::Value,
}

/// A transactional table of JSON rows.
#[derive(Default)]
pub(crate) struct Table {
    rows: collections::BTreeMap<String, (u64, serde_json::Value)>,
    lingering: Vec<Lingering>,
}

impl Table {
    pub(crate) fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.0)
    }

    pub(crate) fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> store::VersionedRow<T> {
        match self.rows.get(key) {
            Some((version, value)) => {
                store::VersionedRow::new(*version, serde_json::from_value(value.clone()).unwrap())
            }
            None => store::VersionedRow::absent(),
        }
    }

    pub(crate) fn scan<T: serde::de::DeserializeOwned>(&self, prefix: &str) -> Vec<T> {
        let rows = self.rows.range(prefix.to_owned()..);
        let rows = rows.take_while(|(key, _)| key.starts_with(prefix));
        rows.map(|(_, (_, value))| serde_json::from_value(value.clone()).unwrap()).collect()
    }

    /// Applies the oldest write that lingers, if its conditions still hold.
    pub(crate) fn land(&mut self) {
        if self.lingering.is_empty() {
            return;
        }
        let Lingering { conditions, key, value } = self.lingering.remove(0);
        if conditions.iter().all(|(key, version)| self.version(key) == *version) {
            let version = self.version(&key) + 1;
            self.rows.insert(key, (version, value));
        }
    }

    /// Writes a row if all conditions hold; with `faulty` the call may be refused, its answer lost
    /// before or after the effect, or it may linger.
    pub(crate) fn write(
        &mut self,
        conditions: &[(&str, u64)],
        key: &str,
        value: &impl serde::Serialize,
        rng: &mut impl rand::Rng,
        faulty: bool,
    ) -> store::WriteOutcome {
        let fate = if faulty { rng.random_range(0..9) } else { 8 };
        if fate == 0 {
            return store::WriteOutcome::Refused;
        }
        if fate == 1 {
            return store::WriteOutcome::Unknown;
        }
        if fate == 3 {
            let conditions = conditions.iter().map(|(key, version)| ((*key).to_owned(), *version));
            let value = serde_json::to_value(value).unwrap();
            let (conditions, key) = (conditions.collect(), key.to_owned());
            self.lingering.push(Lingering { conditions, key, value });
            return store::WriteOutcome::Unknown;
        }
        if conditions.iter().any(|(key, version)| self.version(key) != *version) {
            return if fate == 2 {
                store::WriteOutcome::Unknown
            } else {
                store::WriteOutcome::Conflict
            };
        }
        let version = self.version(key) + 1;
        self.rows.insert(key.to_owned(), (version, serde_json::to_value(value).unwrap()));
        if fate == 2 { store::WriteOutcome::Unknown } else { store::WriteOutcome::Applied(version) }
    }
}
