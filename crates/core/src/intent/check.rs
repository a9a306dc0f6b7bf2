//! Validation of intents.

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
    /// Returns every fault in the intent; empty if it is valid.
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
        findings.require_backend_name(backend, format_args!("leaving[{i}]"));
    }
    findings.require_unique(&intent.leaving, |i| format!("leaving[{i}]"));
}
