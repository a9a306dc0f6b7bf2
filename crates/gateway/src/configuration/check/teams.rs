//! Checks the teams of a configuration. No finding shows a key.

use std::collections;

use azuregap_core::code;

use super::Entry;
use super::Field;
use super::Findings;
use super::Place;
use crate::configuration::declared_team;
use crate::configuration::draft;

/// Stands for a key in a finding.
const A_KEY: &str = "(a key)";

pub(super) fn check<F: Fn(Place) -> String>(findings: &mut Findings<F>, draft: &draft::Draft) {
    let (mut owners, mut names) = (collections::HashMap::new(), collections::HashMap::new());
    let needs_key = draft.routes.iter().any(|route| !route.public);
    if needs_key && draft.listed_teams().is_empty() {
        let (value, expected) = match draft.teams {
            Some(_) => ("none", "at least one team: nobody can call a route that isn't public"),
            None => ("missing", "a list: without it no key is asked for, unless the settings do"),
        };
        findings.warning((Entry::Whole, Field::Teams), value, expected);
    }
    for (index, declared) in draft.listed_teams().iter().enumerate() {
        let (entry, name) = (Entry::Team(index), declared.team.name.as_str());
        let first = *names.entry(name).or_insert(index);
        if first != index {
            let first = findings.path(Entry::Team(first), Field::Name);
            let expected = format!("a name other than {first}: their requests count as one team's");
            findings.error((entry, Field::Name), name, code::Code::PartsClash, expected);
        }
        if declared.keys.is_empty() {
            let expected = "at least one key: nobody can call as this team";
            findings.warning((entry, Field::Keys), "none", expected);
        }
        if !needs_key {
            let expected = "a team of which a route takes requests: no route here needs a key";
            findings.warning((entry, Field::Name), name, expected);
        }
        for key in &declared.keys {
            let at = (entry, Field::Keys);
            if !declared_team::is_sendable(key) {
                let value = if key.is_empty() { "(empty)" } else { A_KEY };
                let expected =
                    "visible ASCII characters, no space around: nobody can send this one";
                findings.error(at, value, code::Code::ValueInvalid, expected);
                continue;
            }
            let first = *owners.entry(key.as_str()).or_insert(index);
            if first != index {
                let first = findings.path(Entry::Team(first), Field::Keys);
                let expected = format!("a key that isn't in {first}: the last team has it");
                findings.error(at, A_KEY, code::Code::PartsClash, expected);
            }
        }
    }
}
