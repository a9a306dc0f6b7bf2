//! Validation of routes.

use super::super::Intent;
use super::super::Pool;
use super::super::PoolKind;
use super::super::Route;
use crate::findings;

/// Paths of model requests; the `model` field of the body selects the pool.
pub const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// Paths that azuregap serves itself.
const RESERVED_PATHS: [&str; 3] = ["/v1", "/healthz", "/readyz"];

/// Methods that a route can allow.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Upper limit of a route's maximum body size, in bytes.
pub const MAX_BODY: usize = 16 * 1024 * 1024;

pub(super) fn check(intent: &Intent, findings: &mut findings::Findings) {
    findings.require_unique(intent.routes.iter().map(|route| &route.name), |i| {
        format!("routes[{i}].name")
    });
    for (i, route) in intent.routes.iter().enumerate() {
        let path = format!("routes[{i}]");
        check_route(intent, route, &path, findings);
        match intent.pool(&route.pool) {
            Some(pool) if pool.kind == PoolKind::Model => check_model(route, &path, findings),
            Some(_) => check_plain(route, &path, findings),
            None => {}
        }
        check_conflicts(intent, i, findings);
    }
}

fn check_route(intent: &Intent, route: &Route, path: &str, findings: &mut findings::Findings) {
    findings.require_name(&route.name, format_args!("{path}.name"));
    findings.require_declared(
        intent.pool(&route.pool).is_some(),
        format_args!("{path}.pool"),
        "pool",
    );
    findings.require_declared(
        intent.class(&route.class).is_some(),
        format_args!("{path}.class"),
        "class",
    );
    check_methods(route, path, findings);
    let valid = (1..=MAX_BODY).contains(&route.max_body);
    findings.require(valid, format_args!("{path}.max_body"), format!("1 to {MAX_BODY} bytes"));
    findings.require_consistent(
        !(route.require_key && route.idempotent),
        format_args!("{path}.require_key"),
        format!("false, or {path}.idempotent false: only a call that runs once needs the key"),
    );
    findings.require_consistent(
        !(route.require_key && route.open),
        format_args!("{path}.require_key"),
        format!("false, or {path}.open false: an Idempotency-Key belongs to a team"),
    );
}

fn check_methods(route: &Route, path: &str, findings: &mut findings::Findings) {
    for (i, method) in route.methods.iter().enumerate() {
        let valid = METHODS.contains(&method.as_str());
        let expected = format!("one of {}", METHODS.join(", "));
        findings.require(valid, format_args!("{path}.methods[{i}]"), expected);
    }
    findings.require_unique(&route.methods, |i| format!("{path}.methods[{i}]"));
}

fn check_model(route: &Route, path: &str, findings: &mut findings::Findings) {
    let is_model_path = MODEL_PATHS.contains(&route.prefix.as_str());
    let expected = format!("{} for a model", MODEL_PATHS.join(" or "));
    findings.require_consistent(is_model_path, format_args!("{path}.prefix"), expected);
    let only_post = route.methods.iter().all(|method| method == "POST");
    let expected = "POST alone for a model, or none";
    findings.require_consistent(only_post, format_args!("{path}.methods"), expected);
    let require_key = format_args!("{path}.require_key");
    findings.require_consistent(!route.require_key, require_key, "false for a model");
}

fn check_plain(route: &Route, path: &str, findings: &mut findings::Findings) {
    let prefix = route.prefix.as_str();
    let expected = "a path such as '/billing/credits', without query, '//' or '..'";
    findings.require(is_valid_prefix(prefix), format_args!("{path}.prefix"), expected);
    let reserved = RESERVED_PATHS.iter().any(|reserved| is_at_or_below(prefix, reserved));
    let expected = "a path outside /v1, /healthz and /readyz, which azuregap answers itself";
    findings.require_consistent(!reserved, format_args!("{path}.prefix"), expected);
}

/// Requires that no earlier route matches the same requests as the route at `index`.
fn check_conflicts(intent: &Intent, index: usize, findings: &mut findings::Findings) {
    let route = &intent.routes[index];
    let model = intent.pool(&route.pool).is_some_and(is_model);
    for (i, other) in intent.routes[..index].iter().enumerate() {
        let same_prefix = trimmed(&other.prefix) == trimmed(&route.prefix);
        if model {
            let same_model = same_prefix && other.pool == route.pool;
            check_model_conflict((i, other), (index, route), same_model, findings);
        } else {
            let conflict = same_prefix && methods_overlap(route, other);
            let path = format!("routes[{index}].prefix");
            let expected = format!("a prefix or methods that routes[{i}] does not have");
            findings.require_consistent(!conflict, path, expected);
        }
    }
}

/// Requires that routes with the same path and model have different classes, so that a caller can
/// select one by its class, and the same value of `open`.
fn check_model_conflict(
    (i, other): (usize, &Route),
    (index, route): (usize, &Route),
    same_model: bool,
    findings: &mut findings::Findings,
) {
    let class = format!("routes[{index}].class");
    let expected = format!("a class other than that of routes[{i}], of the same path and model");
    findings.require_consistent(!(same_model && other.class == route.class), class, expected);
    let open = format!("routes[{index}].open");
    let expected = format!("the same as routes[{i}], of the same path and model");
    findings.require_consistent(!same_model || other.open == route.open, open, expected);
}

fn is_model(pool: &Pool) -> bool {
    pool.kind == PoolKind::Model
}

fn is_valid_prefix(prefix: &str) -> bool {
    let allowed = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '%' | '\\');
    let absolute = prefix.starts_with('/') && prefix.chars().all(allowed);
    absolute && !prefix.contains("//") && !prefix.split('/').any(|segment| segment == "..")
}

/// Returns whether `path` is equal to `prefix` or is below it.
fn is_at_or_below(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn trimmed(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}

/// Returns whether any method is allowed by both routes.
fn methods_overlap(a: &Route, b: &Route) -> bool {
    let any_allows_all = a.methods.is_empty() || b.methods.is_empty();
    any_allows_all || a.methods.iter().any(|method| b.methods.contains(method))
}
