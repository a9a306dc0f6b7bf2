//! Collects the faults found while validating a document.

use std::collections;
use std::fmt;
use std::hash;
use std::ops;
use std::time;

use crate::code;
use crate::intent;

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum length of a backend server's name, in bytes; it is made of the names of the pool and
/// the availability zone and a unique suffix.
const MAX_BACKEND_NAME_BYTES: usize = 160;

/// Faults found so far.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    faults: Vec<intent::Fault>,
}

impl Findings {
    /// Returns the faults in the order in which they were found.
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

    /// Adds a [`code::Code::ValueInvalid`] fault unless `valid`.
    pub(crate) fn require(
        &mut self,
        valid: bool,
        path: impl fmt::Display,
        expected: impl Into<String>,
    ) {
        if !valid {
            self.add(path, code::Code::ValueInvalid, expected);
        }
    }

    /// Adds a [`code::Code::PartsClash`] fault unless two parts of a document are `consistent`.
    pub(crate) fn require_consistent(
        &mut self,
        consistent: bool,
        path: impl fmt::Display,
        expected: impl Into<String>,
    ) {
        if !consistent {
            self.add(path, code::Code::PartsClash, expected);
        }
    }

    /// Adds a [`code::Code::NameUnknown`] fault unless the referenced name is `declared`.
    pub(crate) fn require_declared(&mut self, declared: bool, path: impl fmt::Display, kind: &str) {
        if !declared {
            self.add(path, code::Code::NameUnknown, format!("the name of a declared {kind}"));
        }
    }

    /// Requires a name that is safe in paths, table keys and log lines.
    pub(crate) fn require_name(&mut self, name: &str, path: impl fmt::Display) {
        self.require_name_up_to(name, MAX_NAME_BYTES, path);
    }

    /// Requires a valid name of a backend server, which includes those of its pool and zone.
    pub(crate) fn require_backend_name(&mut self, name: &str, path: impl fmt::Display) {
        self.require_name_up_to(name, MAX_BACKEND_NAME_BYTES, path);
    }

    fn require_name_up_to(&mut self, name: &str, max_bytes: usize, path: impl fmt::Display) {
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let valid = (1..=max_bytes).contains(&name.len()) && name.chars().all(allowed);
        let expected = format!("1 to {max_bytes} ASCII letters, digits, '-', '_' or '.'");
        self.require(valid, path, expected);
    }

    /// Requires that the values are distinct; `path` returns the path of the value at an index.
    pub(crate) fn require_unique<T: Eq + hash::Hash>(
        &mut self,
        values: impl IntoIterator<Item = T>,
        path: impl Fn(usize) -> String,
    ) {
        let mut seen = collections::HashMap::new();
        for (i, value) in values.into_iter().enumerate() {
            if let Some(first) = seen.get(&value) {
                let first = path(*first);
                let expected = format!("a value other than that of {first}");
                self.require_consistent(false, path(i), expected);
            } else {
                seen.insert(value, i);
            }
        }
    }

    /// Requires a duration within `range`, in milliseconds.
    pub(crate) fn require_milliseconds(
        &mut self,
        value: time::Duration,
        range: ops::RangeInclusive<u64>,
        path: impl fmt::Display,
    ) {
        let limits = (u128::from(*range.start()), u128::from(*range.end()));
        let expected = format!("{} to {} milliseconds", limits.0, limits.1);
        self.require((limits.0..=limits.1).contains(&value.as_millis()), path, expected);
    }

    /// Requires a duration within `range`, in seconds.
    pub(crate) fn require_seconds(
        &mut self,
        value: time::Duration,
        range: ops::RangeInclusive<u64>,
        path: impl fmt::Display,
    ) {
        let expected = format!("{} to {} seconds", range.start(), range.end());
        self.require(range.contains(&value.as_secs()), path, expected);
    }
}
