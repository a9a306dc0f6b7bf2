//! Authentication, route matching and header forwarding of callers' requests.

use std::collections;
use std::time;

use azuregap_control::snapshot;
use azuregap_core::code;
use azuregap_core::intent;
use azuregap_core::key;
use azuregap_core::refusal;
use azuregap_core::settings;
use azuregap_entry::claims;
use azuregap_entry::job;
use azuregap_entry::resolve;
use azuregap_wire::run;
use googletest::prelude::*;

const INTENT: &str = include_str!("../../../examples/swan-coastal/intent.json");

const MODEL: &str = r#"{"model":"advisor-model","max_tokens":50}"#;

const CHAT: &str = "POST /v1/chat/completions";

const LOOKUP: &str = "GET /billing-app/accounts/7";

const CREDIT: &str = "POST /billing-app/credits";

const NOTES: &str = "GET /billing-app/notes/1";

const AUTH: (&str, &str) = ("authorization", "Bearer good");

/// One case: its name, method and target, headers and body.
type Case<'a> = (&'a str, &'a str, &'a [(&'a str, &'a str)], &'a str);

fn configuration() -> snapshot::Snapshot {
    let mut intent: intent::Intent = settings::from_text(INTENT).unwrap();
    let keys = [("good", "kelp-robotics", false), ("old", "harbour-freight", true)];
    for (key, team, withdrawn) in keys {
        let digest = key::Digest::of(key);
        intent.keys.push(intent::KeyGrant { digest, team: team.into(), withdrawn });
    }
    assert!(intent.check().is_empty());
    snapshot::Snapshot::new(1, intent)
}

fn request(call: &str, headers: &[(&str, &str)], body: &str) -> resolve::IncomingRequest {
    let (method, target) = call.split_once(' ').unwrap();
    let header = |(name, value): &(&str, &str)| {
        let (name, value) = ((*name).to_owned(), (*value).to_owned());
        run::Header { name, value }
    };
    resolve::IncomingRequest {
        method: method.into(),
        path: target.split('?').next().unwrap().into(),
        target: target.into(),
        headers: headers.iter().map(header).collect(),
        body: body.to_owned().into(),
    }
}

fn resolve_request(
    incoming: &resolve::IncomingRequest,
) -> std::result::Result<job::Job, refusal::Refusal> {
    let estimate = |_: &str, _: &str, bytes, limit: Option<u64>| bytes + limit.unwrap_or(1000);
    resolve::resolve_job(&configuration(), incoming, tokio::time::Instant::now(), estimate)
}

/// Result of a case, in one line.
fn summarize((name, call, headers, body): &Case<'_>) -> String {
    match resolve_request(&request(call, headers, body)) {
        Ok(job) => {
            let (team, route, class) = (&job.team, &job.route.name, &job.class.name);
            let key = job.idempotency_key.as_deref().unwrap_or("-");
            let (cost, target) = (job.cost, &job.target);
            format!(
                "{name}: {route}/{class}, team '{team}', cost {cost}, idempotency key {key}, {target}"
            )
        }
        Err(refusal) => {
            let (code, status) = (refusal.code, refusal.code.status());
            let (not_run, message) = (refusal.not_run, &refusal.message);
            format!("{name}: {status} {code:?}, not_run {not_run}, {message}")
        }
    }
}

fn summaries(cases: &[Case<'_>]) -> String {
    cases.iter().map(summarize).collect::<Vec<_>>().join("\n")
}

#[gtest]
fn model_requests_match_routes_by_model_and_class() {
    let own = resolve::CLASS_HEADER;
    insta::assert_snapshot!(summaries(&[
        ("first route of the model", CHAT, &[AUTH], MODEL),
        ("class by header", "POST /v1/chat/completions?a=1", &[AUTH, (own, "summary")], MODEL),
        ("class without a route", CHAT, &[AUTH, (own, "ledger")], MODEL),
        ("other model path", "POST /v1/completions", &[AUTH], MODEL),
        ("model unknown", CHAT, &[AUTH], r#"{"model":"other"}"#),
        ("plain pool as model", CHAT, &[AUTH], r#"{"model":"billing-app"}"#),
        ("not json", CHAT, &[AUTH], "{"),
        ("unmatched method", "PUT /v1/chat/completions", &[AUTH], MODEL),
        ("no output limit", CHAT, &[AUTH], r#"{"model":"advisor-model"}"#),
        ("key missing", CHAT, &[], MODEL),
    ]));
}

#[gtest]
fn plain_requests_match_routes_by_path_and_method() {
    let key = ("idempotency-key", "c-1");
    let large = "x".repeat(16_385);
    insta::assert_snapshot!(summaries(&[
        ("lookup", "GET /billing-app/accounts/7?full=1", &[AUTH], ""),
        ("exact prefix", "HEAD /billing-app/accounts", &[AUTH], ""),
        ("prefix of a longer segment", "GET /billing-app/accounts-old", &[AUTH], ""),
        ("unmatched method", "DELETE /billing-app/accounts/7", &[AUTH], ""),
        ("unmatched path", "GET /", &[AUTH], ""),
        ("lookup by method", "GET /billing-app/tariffs/1", &[AUTH], ""),
        ("change by method", "PUT /billing-app/tariffs/1", &[AUTH, key], ""),
        ("idempotency key missing", CREDIT, &[AUTH], ""),
        ("idempotency key", CREDIT, &[AUTH, key], ""),
        ("open route", NOTES, &[], ""),
        ("open route with a key", NOTES, &[AUTH], ""),
        ("key missing", LOOKUP, &[], ""),
        ("key of another scheme", LOOKUP, &[("authorization", "Basic good")], ""),
        ("key unknown", LOOKUP, &[("authorization", "Bearer bad")], ""),
        ("key withdrawn", LOOKUP, &[("authorization", "Bearer old")], ""),
        ("body at the limit", LOOKUP, &[AUTH], &large[1..]),
        ("body over the limit", LOOKUP, &[AUTH], &large),
    ]));
}

#[gtest]
fn credentials_and_connection_headers_are_not_forwarded() -> Result<()> {
    let dropped = "cookie proxy-authorization x-api-key host te x-priority x-request-id \
                   x-resume-offset x-azuregap-anything keep-alive x-hop x-skip";
    let mut headers = vec![AUTH, ("connection", "close, X-Hop"), ("connection", "x-skip")];
    headers.extend(dropped.split(' ').map(|name| (name, "good")));
    headers.extend(["content-type", "x-call-id", "x-hopper"].map(|name| (name, "1")));
    let job = resolve_request(&request(LOOKUP, &headers, ""))?;
    let kept: Vec<_> = job.headers.iter().map(|header| header.name.as_str()).collect();
    verify_that!(kept, elements_are![eq(&"content-type"), eq(&"x-call-id"), eq(&"x-hopper")])
}

#[gtest]
fn deadline_comes_from_class_and_request_ids_are_unique() -> Result<()> {
    let call = request(NOTES, &[], "");
    let now = tokio::time::Instant::now();
    let job = || resolve::resolve_job(&configuration(), &call, now, |_, _, _, _| 1);
    let (a, b) = (job()?, job()?);
    verify_that!(a.deadline, eq(now + time::Duration::from_secs(5)))?;
    verify_that!(a.id, not(eq(b.id)))
}

#[gtest]
fn claim_rows_are_separate_per_team_and_hide_the_key() -> Result<()> {
    let owners = [("kelp-robotics", "a"), ("kelp-robotics", "b"), ("open", "a"), ("", "a")];
    let row = |(team, idempotency_key): (&str, &str)| {
        let mut job = resolve_request(&request(NOTES, &[], "")).unwrap();
        job.team = team.into();
        claims::row_key(&job, idempotency_key)
    };
    let rows: collections::BTreeSet<_> = owners.into_iter().map(row).collect();
    verify_that!(rows.len(), eq(owners.len()))?;
    verify_that!(rows.iter().any(|row| row.ends_with("/a")), eq(false))
}

#[gtest]
fn authorization_scheme_is_case_insensitive() -> Result<()> {
    let (name, value) = AUTH;
    let lower = value.replace("Bearer", "bearer");
    let team = |value| {
        let job = resolve_request(&request(CHAT, &[(name, value)], MODEL));
        job.map(|job| job.team).ok()
    };
    verify_that!(team(value).is_some(), eq(true))?;
    verify_that!(team(&lower), eq(&team(value)))
}

/// A service that resolves dot segments would serve such a request from another route's path.
#[gtest]
fn dot_segments_cannot_escape_an_open_route() -> Result<()> {
    for segment in ["..", "%2e%2e", "%2E.", "."] {
        let call = format!("GET /billing-app/notes/{segment}/accounts/7");
        verify_that!(resolve_request(&request(&call, &[], "")).is_err(), eq(true))
            .with_failure_message(|| format!("{call} was accepted without a key"))?;
    }
    Ok(())
}

/// Guards against whoever sends no key running as a team that has an empty one.
#[gtest]
fn an_empty_key_is_a_missing_one_whatever_is_declared() {
    let mut intent: intent::Intent = settings::from_text(INTENT).unwrap();
    let (digest, team) = (key::Digest::of(""), "kelp-robotics".into());
    intent.keys = vec![intent::KeyGrant { digest, team, withdrawn: false }];
    // No operator can declare this one, since the check of an intent reports it.
    expect_that!(intent.check().is_empty(), eq(false));
    let configuration = snapshot::Snapshot::new(1, intent.clone());
    let nobody = snapshot::Snapshot::new(2, intent::Intent { keys: Vec::new(), ..intent });
    for header in [None, Some(""), Some("Bearer"), Some("Bearer "), Some("Bearer   ")] {
        for snapshot in [&configuration, &nobody] {
            let refused = resolve::authenticate(snapshot, header).map(|grant| grant.team.clone());
            let code = refused.err().map(|refusal| refusal.code);
            expect_that!(code, some(eq(code::Code::KeyMissing)), "{header:?}");
        }
    }
}
