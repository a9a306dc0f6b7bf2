//! A table service in memory that loses answers.

use std::collections;

use azuregap_coordination::store;
use rand::RngExt as _;

/// A transactional table of JSON rows.
#[derive(Default)]
pub(crate) struct Table {
    rows: collections::BTreeMap<String, (u64, serde_json::Value)>,
}

impl Table {
    pub(crate) fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.0)
    }

    pub(crate) fn read<T: serde::de::DeserializeOwned>(&self, key: &str) -> store::Stored<T> {
        match self.rows.get(key) {
            Some((version, value)) => {
                store::Stored::new(*version, serde_json::from_value(value.clone()).unwrap())
            }
            None => store::Stored::absent(),
        }
    }

    pub(crate) fn scan<T: serde::de::DeserializeOwned>(&self, prefix: &str) -> Vec<T> {
        let rows = self.rows.range(prefix.to_owned()..);
        let rows = rows.take_while(|(key, _)| key.starts_with(prefix));
        rows.map(|(_, (_, value))| serde_json::from_value(value.clone()).unwrap()).collect()
    }

    /// Writes a row if all conditions hold; with `faulty` the call may be refused or its answer
    /// lost before or after the effect.
    pub(crate) fn write(
        &mut self,
        conditions: &[(&str, u64)],
        key: &str,
        value: &impl serde::Serialize,
        rng: &mut impl rand::Rng,
        faulty: bool,
    ) -> store::Outcome {
        let fate = if faulty { rng.random_range(0..8) } else { 7 };
        if fate == 0 {
            return store::Outcome::Refused;
        }
        if fate == 1 {
            return store::Outcome::Unknown;
        }
        if conditions.iter().any(|(key, version)| self.version(key) != *version) {
            return if fate == 2 { store::Outcome::Unknown } else { store::Outcome::Conflict };
        }
        let version = self.version(key) + 1;
        self.rows.insert(key.to_owned(), (version, serde_json::to_value(value).unwrap()));
        if fate == 2 { store::Outcome::Unknown } else { store::Outcome::Applied(version) }
    }
}
