//! Authenticates a caller's request and matches it to a team, route and class, or refuses it.

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

/// Path prefix reserved for model requests.
pub const MODEL_PATH_PREFIX: &str = "/v1/";

/// Prefix of headers reserved for azuregap; a caller's headers with it are not forwarded.
pub const RESERVED_HEADER_PREFIX: &str = "x-azuregap-";

/// Header in which a caller names the class of a model request.
pub const CLASS_HEADER: &str = "x-azuregap-class";

/// Header with the caller's idempotency key, the same for every repetition of a request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Headers that are never forwarded to a backend server.
const STRIPPED_HEADERS: &[&str] = &[
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

/// A caller's request as received.
#[derive(Clone, Debug)]
pub struct IncomingRequest {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Request target: path and query.
    pub target: String,
    /// Headers with lower-case names.
    pub headers: Vec<run::Header>,
    /// Request body.
    pub body: Bytes,
}

impl IncomingRequest {
    fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|header| header.name == name)?;
        Some(&header.value)
    }
}

/// Fields of a completion request that routing uses.
#[derive(Debug, Deserialize)]
struct Completion {
    model: String,
    #[serde(default)]
    max_tokens: Option<u64>,
}

/// Resolves a caller's request to a job. `estimate` returns the cost of a model request in tokens
/// from its route, class, prompt length in bytes and the caller's limit of output tokens.
///
/// # Errors
///
/// A not-run refusal when the key, route or body is not acceptable.
pub fn resolve_job(
    configuration: &snapshot::Snapshot,
    incoming: &IncomingRequest,
    now: time::Instant,
    estimate: impl Fn(&str, &str, u64, Option<u64>) -> u64,
) -> Result<job::Job, refusal::Refusal> {
    if configuration.version == 0 {
        let text = "this entry has no configuration yet";
        return Err(refusal::Refusal::not_run(code::Code::ConfigurationStale, text));
    }
    let completion = parse_completion(incoming)?;
    let route = match_route(&configuration.intent, incoming, completion.as_ref())?;
    let grant = authenticate_route(configuration, incoming, route)?;
    if incoming.body.len() > route.max_body {
        let text =
            format!("the body has {} bytes, {} are allowed", incoming.body.len(), route.max_body);
        return Err(refusal::Refusal::not_run(code::Code::BodyTooLarge, text));
    }
    let idempotency_key = incoming.header(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
    if idempotency_key.is_none() && route.require_key {
        let text = format!("route '{}' takes no request without one", route.name);
        return Err(refusal::Refusal::not_run(code::Code::ClaimKeyRequired, text));
    }
    let unknown = |what: &str| refusal::Refusal::not_run(code::Code::Internal, what.to_owned());
    let class = configuration.intent.class(&route.class).ok_or_else(|| unknown("no such class"))?;
    let pool = configuration.intent.pool(&route.pool).ok_or_else(|| unknown("no such pool"))?;
    let bytes = incoming.body.len() as u64;
    let request = completion.as_ref();
    let cost = request.map(|it| estimate(&route.name, &class.name, bytes, it.max_tokens));
    let cost = cost.unwrap_or(1);
    Ok(job::Job {
        id: rand::random(),
        team: grant.map(|grant| grant.team.clone()).unwrap_or_default(),
        key_digest: grant.map(|grant| grant.digest),
        class: class.clone(),
        route: route.clone(),
        model_pool: pool.kind == intent::PoolKind::Model,
        idempotency_key,
        cost,
        prefix_hash: balancer::prefix::hash(&pool.name, &incoming.body),
        method: incoming.method.clone(),
        target: incoming.target.clone(),
        headers: forwarded_headers(&incoming.headers),
        body: incoming.body.clone(),
        deadline: now + class.deadline,
    })
}

/// Authenticates the caller by the value of its `Authorization` header and returns the key's grant.
///
/// # Errors
///
/// A refusal when the key is missing, unknown or withdrawn.
pub fn authenticate<'a>(
    configuration: &'a snapshot::Snapshot,
    header: Option<&str>,
) -> Result<&'a intent::KeyGrant, refusal::Refusal> {
    let refuse = |code, text: &str| Err(refusal::Refusal::not_run(code, text));
    let key = header.and_then(bearer_token).map(str::trim).filter(|key| !key.is_empty());
    let Some(key) = key else {
        return refuse(code::Code::KeyMissing, "no key came with the request");
    };
    let digest = key::Digest::of(key);
    match configuration.keys.get(&digest) {
        Some(grant) if !grant.digest.matches(&digest) || grant.withdrawn => {
            refuse(code::Code::KeyWithdrawn, "the key was withdrawn")
        }
        Some(grant) => Ok(grant),
        None => refuse(code::Code::KeyUnknown, "the key is not known"),
    }
}

/// The token of a `Bearer` authorization header; the scheme is case-insensitive.
fn bearer_token(header: &str) -> Option<&str> {
    let (scheme, key) = header.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then_some(key)
}

fn authenticate_route<'a>(
    configuration: &'a snapshot::Snapshot,
    incoming: &IncomingRequest,
    route: &intent::Route,
) -> Result<Option<&'a intent::KeyGrant>, refusal::Refusal> {
    if route.open {
        return Ok(None);
    }
    authenticate(configuration, incoming.header("authorization")).map(Some)
}

fn parse_completion(incoming: &IncomingRequest) -> Result<Option<Completion>, refusal::Refusal> {
    if !incoming.path.starts_with(MODEL_PATH_PREFIX) {
        return Ok(None);
    }
    serde_json::from_slice(&incoming.body).map(Some).map_err(|error| {
        refusal::Refusal::not_run(code::Code::BodyInvalid, format!("not a completion: {error}"))
    })
}

fn match_route<'a>(
    intent: &'a intent::Intent,
    incoming: &IncomingRequest,
    completion: Option<&Completion>,
) -> Result<&'a intent::Route, refusal::Refusal> {
    let IncomingRequest { method, path, .. } = incoming;
    if path.split(['/', '\\']).any(is_dot_segment) {
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
    route.filter(|route| route.allows_method(method)).ok_or_else(|| {
        let text = format!("no route serves model '{}' at {method} {path}", completion.model);
        refusal::Refusal::not_run(code::Code::ModelUnknown, text)
    })
}

/// Whether a path segment, once a server has decoded it, can lead out of the route's path prefix.
fn is_dot_segment(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    let encoded_slash = ["%2f", "%5c"].iter().any(|slash| decoded.contains(slash));
    matches!(decoded.as_str(), "." | "..") || (encoded_slash && decoded.contains(".."))
}

fn forwarded_headers(headers: &[run::Header]) -> Vec<run::Header> {
    let connection_headers: Vec<String> = headers
        .iter()
        .filter(|header| header.name == "connection")
        .flat_map(|header| header.value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_forwarded = |header: &&run::Header| {
        !STRIPPED_HEADERS.contains(&header.name.as_str())
            && !header.name.starts_with(RESERVED_HEADER_PREFIX)
            && !connection_headers.contains(&header.name)
    };
    headers.iter().filter(is_forwarded).cloned().collect()
}
