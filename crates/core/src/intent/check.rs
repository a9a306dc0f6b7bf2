//! Checks that a declared intent must pass.

mod classes;
mod pools;
mod routes;
mod teams;
mod zones;

pub use routes::MAX_BODY;
pub use routes::MODEL_PATHS;

use super::Fault;
use super::Intent;
use crate::findings;

impl Intent {
    /// Every fault of the intent; empty when it is sound.
    #[must_use]
    pub fn check(&self) -> Vec<Fault> {
        let mut findings = findings::Findings::default();
        classes::check(self, &mut findings);
        teams::check(self, &mut findings);
        pools::check(self, &mut findings);
        routes::check(self, &mut findings);
        zones::check(self, &mut findings);
        check_leaving(self, &mut findings);
        findings.into_faults()
    }
}

fn check_leaving(intent: &Intent, findings: &mut findings::Findings) {
    for (i, backend) in intent.leaving.iter().enumerate() {
        findings.backend(backend, format_args!("leaving[{i}]"));
    }
    findings.unique(&intent.leaving, |i| format!("leaving[{i}]"));
}
