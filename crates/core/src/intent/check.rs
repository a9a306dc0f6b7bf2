//! Checks that a declared intent must pass.

use std::collections;

use super::Intent;
use crate::code;

/// One fault in an intent or in settings.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// Path of the field, for example `routes[2].pool`.
    pub path: String,
    /// Numbered code.
    pub code: code::Code,
    /// What is expected instead.
    pub expected: String,
}

impl Fault {
    /// A fault at `path`.
    #[must_use]
    pub fn new(path: impl Into<String>, code: code::Code, expected: impl Into<String>) -> Self {
        Self { path: path.into(), code, expected: expected.into() }
    }
}

impl Intent {
    /// Every fault of the intent; empty when it is sound.
    #[must_use]
    pub fn check(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        check_routes(self, &mut faults);
        faults
    }
}

fn check_routes(intent: &Intent, faults: &mut Vec<Fault>) {
    let mut seen = collections::HashSet::new();
    for (i, route) in intent.routes.iter().enumerate() {
        if intent.pool(&route.pool).is_none() {
            let path = format!("routes[{i}].pool");
            faults.push(Fault::new(path, code::Code::NameUnknown, "the name of a declared pool"));
        }
        if intent.class(&route.class).is_none() {
            let path = format!("routes[{i}].class");
            faults.push(Fault::new(path, code::Code::NameUnknown, "the name of a declared class"));
        }
        if !seen.insert((&route.prefix, &route.methods, &route.pool)) {
            let path = format!("routes[{i}].prefix");
            faults.push(Fault::new(path, code::Code::PartsClash, "a prefix no other route has"));
        }
    }
}
