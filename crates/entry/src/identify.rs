//! Decides what a caller's request is: team, route and class, or a refusal.

use azuregap_control::snapshot;
use azuregap_core::code;
use azuregap_core::intent;
use azuregap_core::key;
use azuregap_core::refusal;
use azuregap_policy::balancer;
use azuregap_wire::run;
use bytes::Bytes;
use serde::Deserialize;
use tokio::time;

use crate::job;

/// Path prefix kept for models.
pub const MODELS_PREFIX: &str = "/v1/";

/// Prefix of headers that only azuregap itself sets.
pub const OWN_PREFIX: &str = "x-azuregap-";

/// Header by which a caller names the class of a model request.
pub const CLASS_HEADER: &str = "x-azuregap-class";

/// Header by which a caller makes a repeat recognisable.
pub const CLAIM_HEADER: &str = "idempotency-key";

/// Headers that never reach a backend server.
const DROPPED: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "keep-alive",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-api-key",
    "x-priority",
    "x-request-id",
    "x-resume-offset",
];

/// A caller's request as it came.
#[derive(Clone, Debug)]
pub struct Incoming {
    /// HTTP method.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Path and query.
    pub target: String,
    /// Headers with lower-case names.
    pub headers: Vec<run::Header>,
    /// Body.
    pub body: Bytes,
}

impl Incoming {
    fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|header| header.name == name)?;
        Some(&header.value)
    }
}

/// The part of a completion request that routing needs.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    max_tokens: Option<u64>,
}

/// Turns a caller's request into a job. `estimate` gives the cost in tokens of a model request by
/// route, class, length of the prompt in bytes and the caller's limit of output tokens.
///
/// # Errors
///
/// A refusal, nothing run, when the key, route or body is not acceptable.
pub fn identify(
    configuration: &snapshot::Snapshot,
    incoming: &Incoming,
    now: time::Instant,
    estimate: impl Fn(&str, &str, u64, Option<u64>) -> u64,
) -> Result<job::Job, refusal::Refusal> {
    if configuration.version == 0 {
        let text = "this entry has no configuration yet";
        return Err(refusal::Refusal::not_run(code::Code::ConfigurationStale, text));
    }
    let completion = read_completion(incoming)?;
    let route = find_route(&configuration.intent, incoming, completion.as_ref())?;
    let grant = find_grant(configuration, incoming, route)?;
    if incoming.body.len() > route.max_body {
        let text =
            format!("the body has {} bytes, {} are allowed", incoming.body.len(), route.max_body);
        return Err(refusal::Refusal::not_run(code::Code::BodyTooLarge, text));
    }
    let claim = incoming.header(CLAIM_HEADER).map(str::to_owned);
    if claim.is_none() && route.require_key {
        let text = format!("route '{}' takes no request without one", route.name);
        return Err(refusal::Refusal::not_run(code::Code::ClaimKeyRequired, text));
    }
    let unknown = |what: &str| refusal::Refusal::not_run(code::Code::Internal, what.to_owned());
    let class = configuration.intent.class(&route.class).ok_or_else(|| unknown("no such class"))?;
    let pool = configuration.intent.pool(&route.pool).ok_or_else(|| unknown("no such pool"))?;
    let bytes = incoming.body.len() as u64;
    let model = completion.as_ref();
    let cost = model.map(|it| estimate(&route.name, &class.name, bytes, it.max_tokens));
    let cost = cost.unwrap_or(1);
    Ok(job::Job {
        id: rand::random(),
        team: grant.map(|grant| grant.team.clone()).unwrap_or_default(),
        key: grant.map(|grant| grant.digest),
        class: class.clone(),
        route: route.clone(),
        model: pool.kind == intent::PoolKind::Model,
        claim,
        cost,
        prefix: balancer::prefix::hash(&pool.name, &incoming.body),
        method: incoming.method.clone(),
        path: incoming.target.clone(),
        headers: kept(&incoming.headers),
        body: incoming.body.clone(),
        deadline: now + class.deadline,
    })
}

/// Finds the grant of the caller's key.
///
/// # Errors
///
/// A refusal when the key is missing, unknown or withdrawn.
pub fn find_key<'a>(
    configuration: &'a snapshot::Snapshot,
    header: Option<&str>,
) -> Result<&'a intent::KeyGrant, refusal::Refusal> {
    let refuse = |code, text: &str| Err(refusal::Refusal::not_run(code, text));
    let Some(key) = header.and_then(bearer) else {
        return refuse(code::Code::KeyMissing, "no key came with the request");
    };
    let digest = key::Digest::of(key.trim());
    match configuration.keys.get(&digest) {
        Some(grant) if !grant.digest.matches(&digest) || grant.withdrawn => {
            refuse(code::Code::KeyWithdrawn, "the key was withdrawn")
        }
        Some(grant) => Ok(grant),
        None => refuse(code::Code::KeyUnknown, "the key is not known"),
    }
}

/// The key behind the scheme, whose name is written in any case.
fn bearer(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key)
}

fn find_grant<'a>(
    configuration: &'a snapshot::Snapshot,
    incoming: &Incoming,
    route: &intent::Route,
) -> Result<Option<&'a intent::KeyGrant>, refusal::Refusal> {
    if route.open {
        return Ok(None);
    }
    find_key(configuration, incoming.header("authorization")).map(Some)
}

fn read_completion(incoming: &Incoming) -> Result<Option<Completion>, refusal::Refusal> {
    if !incoming.path.starts_with(MODELS_PREFIX) {
        return Ok(None);
    }
    serde_json::from_slice(&incoming.body).map(Some).map_err(|error| {
        refusal::Refusal::not_run(code::Code::BodyInvalid, format!("not a completion: {error}"))
    })
}

fn find_route<'a>(
    intent: &'a intent::Intent,
    incoming: &Incoming,
    completion: Option<&Completion>,
) -> Result<&'a intent::Route, refusal::Refusal> {
    let Incoming { method, path, .. } = incoming;
    if path.split(['/', '\\']).any(is_step) {
        let text = format!("the path {path} has dot segments");
        return Err(refusal::Refusal::not_run(code::Code::RouteUnknown, text));
    }
    let Some(completion) = completion else {
        return intent.plain_route(path, method).ok_or_else(|| {
            let text = format!("no route for {method} {path}");
            refusal::Refusal::not_run(code::Code::RouteUnknown, text)
        });
    };
    let class = incoming.header(CLASS_HEADER);
    let route = intent.model_route(path, &completion.model, class);
    route.filter(|route| route.takes(method)).ok_or_else(|| {
        let text = format!("no route serves model '{}' at {method} {path}", completion.model);
        refusal::Refusal::not_run(code::Code::ModelUnknown, text)
    })
}

/// Whether a path segment leads elsewhere than below its prefix, once a server has decoded it.
fn is_step(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    let hides = ["%2f", "%5c"].iter().any(|slash| decoded.contains(slash));
    matches!(decoded.as_str(), "." | "..") || (hides && decoded.contains(".."))
}

fn kept(headers: &[run::Header]) -> Vec<run::Header> {
    let hops: Vec<String> = headers
        .iter()
        .filter(|header| header.name == "connection")
        .flat_map(|header| header.value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let keep = |header: &&run::Header| {
        !DROPPED.contains(&header.name.as_str())
            && !header.name.starts_with(OWN_PREFIX)
            && !hops.contains(&header.name)
    };
    headers.iter().filter(keep).cloned().collect()
}
