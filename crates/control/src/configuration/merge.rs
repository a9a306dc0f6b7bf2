//! What of a declared intent is taken, and what changes by it.

use azuregap_core::intent;

/// The intent that results when `declared` is put in force after `current`.
///
/// Keys are given and withdrawn one by one: a key of `current` stays, and stays withdrawn,
/// whatever `declared` says; only keys that are not known yet are added. Backend servers that
/// were told to leave still leave.
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

/// The paths of what differs, for example `zones.perth-north`, without keys.
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
