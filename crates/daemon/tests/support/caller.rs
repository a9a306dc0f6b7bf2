//! HTTP clients of the entries.

use std::net;
use std::time;

use azuregap_platform::strict;
use azuregap_standins::engine;
use azuregap_standins::plain;
use bytes::Bytes;
use bytes::BytesMut;
use futures::StreamExt as _;
use serde_json::json;

use super::documents;

/// How long [`eventually`] waits for a condition.
const EVENTUALLY_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Interval between checks of a condition.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// A client with its own connections and key.
#[derive(Clone)]
pub(crate) struct Caller {
    client: awc::Client,
    entry: net::SocketAddr,
    key: Option<String>,
    headers: Vec<(String, String)>,
}

/// Response that a caller received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    /// HTTP status; 0 without a response.
    pub(crate) status: u16,
    /// Headers by lower-case name.
    pub(crate) headers: Vec<(String, String)>,
    /// Received part of the body.
    pub(crate) body: Bytes,
    /// Whether the body ended according to its framing.
    pub(crate) ended: bool,
}

impl Reply {
    /// The body as JSON, or null.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The numbered code of a refusal.
    pub(crate) fn code(&self) -> Option<u64> {
        let json = self.json();
        json["code"].as_u64().or_else(|| json["error"]["code"].as_u64())
    }

    /// Whether a refusal states that the request did not run.
    pub(crate) fn not_run(&self) -> Option<bool> {
        let json = self.json();
        json["not_run"].as_bool().or_else(|| json["error"]["not_run"].as_bool())
    }

    /// A header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Whether a caller would take this for a complete, successful response.
    pub(crate) fn appears_complete(&self) -> bool {
        self.status == 200 && self.ended && !String::from_utf8_lossy(&self.body).contains("error")
    }
}

impl Caller {
    /// A caller of the entry at `entry` with the first team's key.
    pub(crate) fn new(entry: net::SocketAddr) -> Self {
        let key = Some(documents::KEY.to_owned());
        Self { client: strict::client(), entry, key, headers: Vec::new() }
    }

    /// Uses another key.
    pub(crate) fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Uses no key.
    pub(crate) fn no_key(mut self) -> Self {
        self.key = None;
        self
    }

    /// Sends a further header.
    pub(crate) fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Requests a streamed chat completion of `tokens` tokens.
    pub(crate) async fn chat(&self, prompt: &str, tokens: u32) -> Reply {
        self.chat_until(prompt, tokens, u64::MAX).await
    }

    /// Like [`Caller::chat`], but disconnects after `bytes` bytes of the response.
    pub(crate) async fn chat_until(&self, prompt: &str, tokens: u32, bytes: u64) -> Reply {
        let message = json!({"role": "user", "content": prompt});
        let body = json!({
            "model": documents::MODEL, "messages": [message], "max_tokens": tokens, "stream": true,
        });
        let request = self.request("POST", "/v1/chat/completions");
        send(request.content_type("application/json"), body.to_string(), bytes).await
    }

    /// Calls a plain service.
    pub(crate) async fn call(&self, method: &str, path: &str, id: &str) -> Reply {
        let request = self.request(method, path).insert_header((plain::CALL_ID, id));
        send(request, format!("body of {id}"), u64::MAX).await
    }

    /// Sends a GET request without a body.
    pub(crate) async fn get(&self, path: &str) -> Reply {
        send(self.request("GET", path), String::new(), u64::MAX).await
    }

    fn request(&self, method: &str, path: &str) -> awc::ClientRequest {
        let method = method.parse().unwrap();
        let mut request = self.client.request(method, format!("http://{}{path}", self.entry));
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        for (name, value) in &self.headers {
            request = request.append_header((name.as_str(), value.as_str()));
        }
        request
    }
}

async fn send(request: awc::ClientRequest, body: String, limit: u64) -> Reply {
    let mut reply = Reply { status: 0, headers: Vec::new(), body: Bytes::new(), ended: false };
    let Ok(mut response) = request.send_body(body).await else { return reply };
    reply.status = response.status().as_u16();
    reply.headers = response
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into()))
        .collect();
    let mut body = BytesMut::new();
    reply.ended = loop {
        match response.next().await {
            Some(Ok(bytes)) => body.extend_from_slice(&bytes),
            Some(Err(_)) => break false,
            None => break true,
        }
        if body.len() as u64 >= limit {
            break false;
        }
    };
    reply.body = body.freeze();
    reply
}

/// The complete stream that the engine produces for a chat request.
pub(crate) fn expected_stream(prompt: &str, tokens: u32) -> Bytes {
    let model = documents::MODEL.to_owned();
    engine::Answer { model, chat: true, prompt: prompt.to_owned(), tokens }.stream()
}

/// Waits until `condition` holds; panics with `description` after [`EVENTUALLY_TIMEOUT`].
pub(crate) async fn eventually(description: &str, mut condition: impl AsyncFnMut() -> bool) {
    let start = tokio::time::Instant::now();
    while !condition().await {
        assert!(
            start.elapsed() < EVENTUALLY_TIMEOUT,
            "not within {EVENTUALLY_TIMEOUT:?}: {description}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
