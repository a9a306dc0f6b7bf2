//! Checks a configuration before it is sent: entries that can never match, and limits that
//! contradict each other.
//!
//! ```
//! use azuregap_gateway::configuration;
//!
//! let draft = configuration::Draft::default();
//! let path_of = |place: configuration::Place| format!("{place:?}");
//! assert!(configuration::check(&draft, &[], path_of).is_empty());
//! ```

mod entry;
mod field;
mod finding;
mod place;
mod routes;
mod severity;
mod teams;

use azuregap_core::code;

use super::draft;

pub use entry::Entry;
pub use field::Field;
pub use finding::Finding;
pub use place::Place;
pub use severity::Severity;

/// A VM that takes requests, and its memory in bytes.
pub type VmMemory = (String, usize);

/// Findings so far, and how the document names the places.
struct Findings<F> {
    found: Vec<Finding>,
    path_of: F,
}

impl<F: Fn(Place) -> String> Findings<F> {
    fn path(&self, entry: Entry, field: Field) -> String {
        (self.path_of)(Place { entry, field })
    }

    /// Adds a finding that makes the configuration act otherwise than it says.
    fn error(
        &mut self,
        (entry, field): (Entry, Field),
        value: impl ToString,
        code: code::Code,
        expected: impl Into<String>,
    ) {
        self.add((entry, field), value, code, Severity::Error, expected.into());
    }

    /// Adds a finding of something that has no effect.
    fn warning(
        &mut self,
        (entry, field): (Entry, Field),
        value: impl ToString,
        expected: impl Into<String>,
    ) {
        let code = code::Code::PartsClash;
        self.add((entry, field), value, code, Severity::Warning, expected.into());
    }

    fn add(
        &mut self,
        (entry, field): (Entry, Field),
        value: impl ToString,
        code: code::Code,
        severity: Severity,
        expected: String,
    ) {
        let path = self.path(entry, field);
        self.found.push(Finding { path, value: value.to_string(), code, severity, expected });
    }
}

/// Checks a configuration for VMs with some memory. `path_of` names a place as the document does.
#[must_use]
pub fn check(
    draft: &draft::Draft,
    vms: &[VmMemory],
    path_of: impl Fn(Place) -> String,
) -> Vec<Finding> {
    let mut findings = Findings { found: Vec::new(), path_of };
    check_limits(&mut findings, draft, vms);
    check_services(&mut findings, draft);
    routes::check(&mut findings, draft);
    teams::check(&mut findings, draft);
    findings.found
}

fn check_limits<F: Fn(Place) -> String>(
    findings: &mut Findings<F>,
    draft: &draft::Draft,
    vms: &[VmMemory],
) {
    let (at, most) = ((Entry::Whole, Field::MaxBody), draft.limits.max_body_bytes);
    if most == 0 {
        let expected = "more than 0 bytes: every request with a body is refused";
        findings.error(at, most, code::Code::ValueInvalid, expected);
    }
    for (node, memory) in vms.iter().filter(|(_, memory)| most > *memory) {
        let expected = format!("at most the memory of the VM '{node}', {memory} bytes");
        findings.error(at, most, code::Code::PartsClash, expected);
    }
}

fn check_services<F: Fn(Place) -> String>(findings: &mut Findings<F>, draft: &draft::Draft) {
    for (index, service) in draft.services.iter().enumerate() {
        let entry = Entry::Service(index);
        if let Some(first) = draft.services[..index].iter().position(|s| s.name == service.name) {
            let first = findings.path(Entry::Service(first), Field::Name);
            let expected = format!("a name other than that of {first}: the last one counts");
            let at = (entry, Field::Name);
            findings.error(at, &service.name, code::Code::PartsClash, expected);
        }
        if service.max_connections == 0 {
            let expected = "at least 1 connection";
            findings.error((entry, Field::Connections), 0, code::Code::ValueInvalid, expected);
        }
        let mut named = draft.routes.iter().flat_map(|route| &route.services);
        if !named.any(|weighted| weighted.service == service.name) {
            let expected = "a service of a route: no request goes to this one";
            findings.warning((entry, Field::Name), &service.name, expected);
        }
    }
}
