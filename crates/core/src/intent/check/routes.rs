//! Checks of routes.

use super::super::Intent;
use super::super::Pool;
use super::super::PoolKind;
use super::super::Route;
use crate::findings;

/// Paths that lead to models; the model named in the body picks the pool.
pub const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// Paths that azuregap answers itself.
const OWN_PATHS: [&str; 3] = ["/v1", "/healthz", "/readyz"];

/// Methods a route can take.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

/// Largest body that a route can take, in bytes.
pub const MAX_BODY: usize = 16 * 1024 * 1024;

pub(super) fn check(intent: &Intent, findings: &mut findings::Findings) {
    findings.unique(intent.routes.iter().map(|route| &route.name), |i| format!("routes[{i}].name"));
    for (i, route) in intent.routes.iter().enumerate() {
        let path = format!("routes[{i}]");
        check_route(intent, route, &path, findings);
        match intent.pool(&route.pool) {
            Some(pool) if pool.kind == PoolKind::Model => check_model(route, &path, findings),
            Some(_) => check_plain(route, &path, findings),
            None => {}
        }
        check_clashes(intent, i, findings);
    }
}

fn check_route(intent: &Intent, route: &Route, path: &str, findings: &mut findings::Findings) {
    findings.name(&route.name, format_args!("{path}.name"));
    findings.known(intent.pool(&route.pool).is_some(), format_args!("{path}.pool"), "pool");
    findings.known(intent.class(&route.class).is_some(), format_args!("{path}.class"), "class");
    check_methods(route, path, findings);
    let body = (1..=MAX_BODY).contains(&route.max_body);
    findings.require(body, format_args!("{path}.max_body"), format!("1 to {MAX_BODY} bytes"));
    findings.agree(
        !(route.require_key && route.idempotent),
        format_args!("{path}.require_key"),
        format!("false, or {path}.idempotent false: only a call that runs once needs the key"),
    );
    findings.agree(
        !(route.require_key && route.open),
        format_args!("{path}.require_key"),
        format!("false, or {path}.open false: an Idempotency-Key belongs to a team"),
    );
}

fn check_methods(route: &Route, path: &str, findings: &mut findings::Findings) {
    for (i, method) in route.methods.iter().enumerate() {
        let known = METHODS.contains(&method.as_str());
        let expected = format!("one of {}", METHODS.join(", "));
        findings.require(known, format_args!("{path}.methods[{i}]"), expected);
    }
    findings.unique(&route.methods, |i| format!("{path}.methods[{i}]"));
}

fn check_model(route: &Route, path: &str, findings: &mut findings::Findings) {
    let prefix = MODEL_PATHS.contains(&route.prefix.as_str());
    let expected = format!("{} for a model", MODEL_PATHS.join(" or "));
    findings.agree(prefix, format_args!("{path}.prefix"), expected);
    let post = route.methods.iter().all(|method| method == "POST");
    findings.agree(post, format_args!("{path}.methods"), "POST alone for a model, or none");
    let required = format_args!("{path}.require_key");
    findings.agree(!route.require_key, required, "false for a model");
}

fn check_plain(route: &Route, path: &str, findings: &mut findings::Findings) {
    let prefix = route.prefix.as_str();
    let expected = "a path such as '/billing/credits', without query, '//' or '..'";
    findings.require(is_path(prefix), format_args!("{path}.prefix"), expected);
    let own = OWN_PATHS.iter().any(|own| covers(own, prefix));
    let expected = "a path outside /v1, /healthz and /readyz, which azuregap answers itself";
    findings.agree(!own, format_args!("{path}.prefix"), expected);
}

/// Requires that no earlier route takes the same requests.
fn check_clashes(intent: &Intent, at: usize, findings: &mut findings::Findings) {
    let route = &intent.routes[at];
    let model = intent.pool(&route.pool).is_some_and(is_model);
    for (i, other) in intent.routes[..at].iter().enumerate() {
        let same = trimmed(&other.prefix) == trimmed(&route.prefix);
        if model {
            let same = same && other.pool == route.pool;
            check_model_clash((i, other), (at, route), same, findings);
        } else {
            let path = format!("routes[{at}].prefix");
            let expected = format!("a prefix or methods that routes[{i}] does not have");
            findings.agree(!(same && methods_meet(route, other)), path, expected);
        }
    }
}

/// Routes of one path and model differ by class, which the caller can name.
fn check_model_clash(
    (i, other): (usize, &Route),
    (at, route): (usize, &Route),
    same: bool,
    findings: &mut findings::Findings,
) {
    let class = format!("routes[{at}].class");
    let expected = format!("a class other than that of routes[{i}], of the same path and model");
    findings.agree(!(same && other.class == route.class), class, expected);
    let open = format!("routes[{at}].open");
    let expected = format!("the same as routes[{i}], of the same path and model");
    findings.agree(!same || other.open == route.open, open, expected);
}

fn is_model(pool: &Pool) -> bool {
    pool.kind == PoolKind::Model
}

fn is_path(prefix: &str) -> bool {
    let plain = |c: char| c.is_ascii_graphic() && !matches!(c, '?' | '#' | '%' | '\\');
    let whole = prefix.starts_with('/') && prefix.chars().all(plain);
    whole && !prefix.contains("//") && !prefix.split('/').any(|part| part == "..")
}

/// Whether `path` is `prefix` or lies below it.
fn covers(prefix: &str, path: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn trimmed(prefix: &str) -> &str {
    prefix.trim_end_matches('/')
}

fn methods_meet(a: &Route, b: &Route) -> bool {
    let all = a.methods.is_empty() || b.methods.is_empty();
    all || a.methods.iter().any(|method| b.methods.contains(method))
}
