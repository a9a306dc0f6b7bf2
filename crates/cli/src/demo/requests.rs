//! One request of each class, and two that are refused.

use std::net;

use azuregap_core::intent;
use bytes::Bytes;
use serde_json::Value;
use serde_json::json;
use tokio::time;

/// Largest answer that is read, in bytes.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// Tokens that are asked for.
const TOKENS: u32 = 24;

/// A request of the demo and the status it must get.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// What it shows.
    pub(super) shows: String,
    /// Method.
    pub(super) method: awc::http::Method,
    /// Path.
    pub(super) path: String,
    /// Class that is named in a header.
    pub(super) class: Option<String>,
    /// Value of the header `Idempotency-Key`.
    pub(super) claim: Option<String>,
    /// Whether it comes with the team's key.
    pub(super) keyed: bool,
    /// Body, if any.
    pub(super) body: Option<Value>,
    /// Status that is expected.
    pub(super) status: u16,
}

/// What became of a request.
#[derive(Clone, Debug)]
pub(super) struct Answer {
    /// HTTP status; 0 when none came.
    pub(super) status: u16,
    /// Time to the first byte.
    pub(super) first: time::Duration,
    /// Time to the end.
    pub(super) total: time::Duration,
    /// The whole body.
    pub(super) body: Bytes,
}

/// The requests that show `intent`: the first route of each class, then the refusals.
pub(super) fn all(intent: &intent::Intent) -> Vec<Request> {
    let mut requests = Vec::new();
    for class in &intent.classes {
        let mut routes = intent.routes.iter().filter(|route| route.class == class.name);
        let Some(route) = routes.next() else { continue };
        let model =
            intent.pool(&route.pool).is_some_and(|pool| pool.kind == intent::PoolKind::Model);
        requests.push(if model { model_request(route) } else { plain_request(route) });
    }
    let once = requests.iter().find(|request| request.claim.is_some()).cloned();
    requests.extend(once.map(|request| Request {
        shows: format!("{}, sent again with the same key", request.shows),
        ..request
    }));
    requests.extend(requests.first().cloned().map(|request| Request {
        shows: "a key that nobody gave".to_owned(),
        keyed: false,
        status: 401,
        ..request
    }));
    requests
}

fn model_request(route: &intent::Route) -> Request {
    let chat = route.prefix.ends_with("/chat/completions");
    let text = format!("Please do the work of class {}.", route.class);
    let body = if chat {
        json!({ "model": route.pool, "stream": true, "max_tokens": TOKENS,
            "messages": [{ "role": "user", "content": text }] })
    } else {
        json!({ "model": route.pool, "stream": true, "max_tokens": TOKENS, "prompt": text })
    };
    Request {
        shows: format!("{}: a streamed answer of {}", route.class, route.pool),
        method: awc::http::Method::POST,
        path: route.prefix.clone(),
        class: Some(route.class.clone()),
        claim: None,
        keyed: true,
        body: Some(body),
        status: 200,
    }
}

fn plain_request(route: &intent::Route) -> Request {
    let claim = (!route.idempotent).then(|| format!("demo-{:016x}", rand::random::<u64>()));
    let (method, body) = match claim {
        Some(_) => (awc::http::Method::POST, Some(json!({ "amount": 1200, "account": 7 }))),
        None => (awc::http::Method::GET, None),
    };
    Request {
        shows: format!("{}: {method} {}", route.class, route.prefix),
        method,
        path: format!("{}/7", route.prefix),
        class: None,
        claim,
        keyed: true,
        body,
        status: 200,
    }
}

/// Sends `request` to the entry at `entry` with `key`, or with a key that nobody gave.
pub(super) async fn send(
    client: &awc::Client,
    entry: net::SocketAddr,
    key: &str,
    request: &Request,
) -> Answer {
    let begun = time::Instant::now();
    let mut call =
        client.request(request.method.clone(), format!("http://{entry}{}", request.path));
    call = call.bearer_auth(if request.keyed { key } else { "a-key-that-nobody-gave" });
    if let Some(class) = &request.class {
        call = call.insert_header(("x-azuregap-class", class.as_str()));
    }
    if let Some(claim) = &request.claim {
        call = call.insert_header(("idempotency-key", claim.as_str()));
    }
    let sent = match &request.body {
        Some(body) => call.send_json(body),
        None => call.send(),
    };
    let Ok(mut response) = sent.await else {
        let total = begun.elapsed();
        return Answer { status: 0, first: total, total, body: Bytes::new() };
    };
    let first = begun.elapsed();
    let status = response.status().as_u16();
    let body = response.body().limit(MAX_ANSWER).await;
    let status = if body.is_ok() { status } else { 0 };
    Answer { status, first, total: begun.elapsed(), body: body.unwrap_or_default() }
}

impl Answer {
    /// Whether the answer is a refusal of something that certainly did not run.
    pub(super) fn not_run(&self) -> bool {
        let refusal: Option<Value> = serde_json::from_slice(&self.body).ok();
        refusal.is_some_and(|refusal| refusal["not_run"] == true)
    }
}
