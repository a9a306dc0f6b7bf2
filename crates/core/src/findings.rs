//! Collects the faults that the checks of one document find.

use std::collections;
use std::fmt;
use std::hash;
use std::ops;
use std::time;

use crate::code;
use crate::intent;

/// Longest name of anything, in bytes.
const MAX_NAME: usize = 64;

/// Longest name of a backend server, in bytes: pool, availability zone and a mark of its own.
const MAX_BACKEND: usize = 160;

/// The faults found so far.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    faults: Vec<intent::Fault>,
}

impl Findings {
    /// The faults, in the order they were found.
    pub(crate) fn into_faults(self) -> Vec<intent::Fault> {
        self.faults
    }

    /// Adds a fault at `path`.
    pub(crate) fn add(
        &mut self,
        path: impl fmt::Display,
        code: code::Code,
        expected: impl Into<String>,
    ) {
        self.faults.push(intent::Fault::new(path.to_string(), code, expected));
    }

    /// Adds a fault about a value unless `holds`.
    pub(crate) fn require(
        &mut self,
        holds: bool,
        path: impl fmt::Display,
        expected: impl Into<String>,
    ) {
        if !holds {
            self.add(path, code::Code::ValueInvalid, expected);
        }
    }

    /// Adds a fault about two parts that contradict each other unless `holds`.
    pub(crate) fn agree(
        &mut self,
        holds: bool,
        path: impl fmt::Display,
        expected: impl Into<String>,
    ) {
        if !holds {
            self.add(path, code::Code::PartsClash, expected);
        }
    }

    /// Adds a fault about a name that refers to nothing unless `known`.
    pub(crate) fn known(&mut self, known: bool, path: impl fmt::Display, kind: &str) {
        if !known {
            self.add(path, code::Code::NameUnknown, format!("the name of a declared {kind}"));
        }
    }

    /// Requires a name that is safe in paths, table keys and log lines.
    pub(crate) fn name(&mut self, name: &str, path: impl fmt::Display) {
        self.name_within(name, MAX_NAME, path);
    }

    /// Requires the name of a backend server, which holds those of its pool and zone.
    pub(crate) fn backend(&mut self, name: &str, path: impl fmt::Display) {
        self.name_within(name, MAX_BACKEND, path);
    }

    fn name_within(&mut self, name: &str, longest: usize, path: impl fmt::Display) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let sound = (1..=longest).contains(&name.len()) && name.chars().all(allowed);
        let expected = format!("1 to {longest} ASCII letters, digits, '-', '_' or '.'");
        self.require(sound, path, expected);
    }

    /// Requires that no value comes twice; `path` names the one at an index.
    pub(crate) fn unique<T: Eq + hash::Hash>(
        &mut self,
        values: impl IntoIterator<Item = T>,
        path: impl Fn(usize) -> String,
    ) {
        let mut seen = collections::HashMap::new();
        for (i, value) in values.into_iter().enumerate() {
            if let Some(first) = seen.get(&value) {
                let first = path(*first);
                self.agree(false, path(i), format!("a value other than that of {first}"));
            } else {
                seen.insert(value, i);
            }
        }
    }

    /// Requires a duration in `range`, told in milliseconds.
    pub(crate) fn milliseconds(
        &mut self,
        value: time::Duration,
        range: ops::RangeInclusive<u64>,
        path: impl fmt::Display,
    ) {
        let limits = (u128::from(*range.start()), u128::from(*range.end()));
        let expected = format!("{} to {} milliseconds", limits.0, limits.1);
        self.require((limits.0..=limits.1).contains(&value.as_millis()), path, expected);
    }

    /// Requires a duration in `range`, told in seconds.
    pub(crate) fn seconds(
        &mut self,
        value: time::Duration,
        range: ops::RangeInclusive<u64>,
        path: impl fmt::Display,
    ) {
        let expected = format!("{} to {} seconds", range.start(), range.end());
        self.require(range.contains(&value.as_secs()), path, expected);
    }
}
