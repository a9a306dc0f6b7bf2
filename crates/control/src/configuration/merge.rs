//! Merges a declared intent into the active one and lists the differences.

use azuregap_core::intent;

/// Returns the intent that results from applying `declared` on top of `current`.
///
/// Keys are granted and revoked individually: keys of `current` are kept, including revoked ones,
/// whatever `declared` says, and only unknown keys are added. Backend servers that were already
/// leaving in `current` keep leaving.
#[must_use]
pub fn merge(declared: &intent::Intent, current: &intent::Intent) -> intent::Intent {
    let mut merged = declared.clone();
    let known =
        |grant: &intent::KeyGrant| current.keys.iter().any(|key| key.digest == grant.digest);
    let added = declared.keys.iter().filter(|grant| !known(grant));
    merged.keys = current.keys.iter().chain(added).cloned().collect();
    merged.leaving = current.leaving.clone();
    for backend in &declared.leaving {
        if !current.is_leaving(backend) {
            merged.leaving.push(backend.clone());
        }
    }
    merged
}

/// Returns the paths of the differences, for example `zones.perth-north`. Keys are not compared.
#[must_use]
pub fn changes(before: &intent::Intent, after: &intent::Intent) -> Vec<String> {
    let mut paths = Vec::new();
    compare(&mut paths, "classes", &before.classes, &after.classes, |class| &class.name);
    compare(&mut paths, "teams", &before.teams, &after.teams, |team| &team.name);
    compare(&mut paths, "pools", &before.pools, &after.pools, |pool| &pool.name);
    compare(&mut paths, "routes", &before.routes, &after.routes, |route| &route.name);
    compare(&mut paths, "zones", &before.zones, &after.zones, |zone| &zone.name);
    compare(&mut paths, "leaving", &before.leaving, &after.leaving, |name| name);
    paths
}

fn compare<T: PartialEq>(
    paths: &mut Vec<String>,
    section: &str,
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> &String,
) {
    let find = |items: &[T], wanted: &str| items.iter().position(|item| name(item) == wanted);
    for item in before {
        let kept = find(after, name(item)).is_some_and(|index| after[index] == *item);
        if !kept {
            paths.push(format!("{section}.{}", name(item)));
        }
    }
    for item in after.iter().filter(|item| find(before, name(item)).is_none()) {
        paths.push(format!("{section}.{}", name(item)));
    }
}
