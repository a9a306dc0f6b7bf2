//! One request of a load and how it went.

use std::time;

use bytes::Bytes;
use futures::stream::StreamExt as _;
use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::args;

/// Last event of a whole streamed answer.
const LAST_EVENT: &[u8] = b"[DONE]";

/// Start of a line that carries an event.
const EVENT: &[u8] = b"data:";

/// Deadline of one request.
const TIMEOUT: time::Duration = time::Duration::from_secs(120);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// The whole answer came.
    Whole,
    /// It was refused with a numbered code; 0 where the refusal had none.
    Refused(u64),
    /// The answer broke off.
    Cut,
    /// No answer came.
    Lost,
}

/// Times of one request, from when it was due.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    /// How it ended.
    pub(super) ending: Ending,
    /// Until the first byte of the answer.
    pub(super) first: Option<time::Duration>,
    /// Between two events of a streamed answer.
    pub(super) gaps: Vec<time::Duration>,
    /// Until the end.
    pub(super) total: time::Duration,
}

/// What every request of a load has in common.
pub(super) struct Caller {
    client: awc::Client,
    key: Option<String>,
    options: args::LoadArgs,
}

impl Caller {
    /// A caller with the options of the command line and the key of the environment.
    pub(super) fn new(options: &args::LoadArgs, key: Option<String>) -> Self {
        let limit = options.concurrency as usize;
        let connector = awc::Connector::new().limit(limit);
        let client = awc::Client::builder().connector(connector).timeout(TIMEOUT).finish();
        Self { client, key, options: options.clone() }
    }

    /// Sends one request for `name`, due at `due`.
    pub(super) async fn call(&self, name: &str, due: Instant) -> Outcome {
        let mut outcome =
            Outcome { ending: Ending::Lost, first: None, gaps: Vec::new(), total: due.elapsed() };
        outcome.ending = match name.strip_prefix('/') {
            Some(_) => self.read(name, due, &mut outcome).await,
            None => self.stream(name, due, &mut outcome).await,
        };
        outcome.total = due.elapsed();
        outcome
    }

    async fn read(&self, path: &str, due: Instant, outcome: &mut Outcome) -> Ending {
        let request = self.client.get(self.url(path));
        let Ok(mut response) = self.with_key(request).send().await else {
            return Ending::Lost;
        };
        outcome.first = Some(due.elapsed());
        let body = response.body().await;
        match body {
            Err(_) => Ending::Cut,
            Ok(body) if !response.status().is_success() => refused(&body),
            Ok(body) if is_short(&body, response.headers()) => Ending::Cut,
            Ok(_) => Ending::Whole,
        }
    }

    async fn stream(&self, class: &str, due: Instant, outcome: &mut Outcome) -> Ending {
        let request = self.client.post(self.url("/v1/chat/completions"));
        let request = self.with_key(request).insert_header(("x-azuregap-class", class));
        let Ok(mut response) = request.send_json(&self.body(class)).await else {
            return Ending::Lost;
        };
        if !response.status().is_success() {
            let body = response.body().await;
            return body.map_or(Ending::Cut, |body| refused(&body));
        }
        let mut events = Events::default();
        while let Some(chunk) = response.next().await {
            let Ok(chunk) = chunk else {
                return events.code.map_or(Ending::Cut, Ending::Refused);
            };
            outcome.first.get_or_insert_with(|| due.elapsed());
            events.take(&chunk, &mut outcome.gaps);
        }
        events.ending()
    }

    fn body(&self, class: &str) -> Value {
        let words = vec![class; self.options.prompt_words as usize].join(" ");
        json!({
            "model": self.options.model,
            "stream": true,
            "max_tokens": self.options.max_tokens,
            "messages": [{ "role": "user", "content": words }],
        })
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.options.url.trim_end_matches('/'))
    }

    fn with_key(&self, request: awc::ClientRequest) -> awc::ClientRequest {
        match &self.key {
            Some(key) => request.bearer_auth(key),
            None => request,
        }
    }
}

/// The events of a streamed answer.
#[derive(Debug, Default)]
struct Events {
    line: Vec<u8>,
    last: Option<Instant>,
    whole: bool,
    code: Option<u64>,
}

impl Events {
    /// Takes the next bytes and notes the gaps between events.
    fn take(&mut self, chunk: &Bytes, gaps: &mut Vec<time::Duration>) {
        for byte in chunk {
            if *byte == b'\n' {
                let line = std::mem::take(&mut self.line);
                self.take_line(&line, gaps);
            } else {
                self.line.push(*byte);
            }
        }
    }

    fn take_line(&mut self, line: &[u8], gaps: &mut Vec<time::Duration>) {
        let Some(event) = line.strip_prefix(EVENT) else {
            return;
        };
        let event = event.trim_ascii();
        if event == LAST_EVENT {
            self.whole = true;
            return;
        }
        if let Some(code) = code_of(event) {
            self.code = Some(code);
        }
        let now = Instant::now();
        gaps.extend(self.last.map(|last| now - last));
        self.last = Some(now);
    }

    fn ending(&self) -> Ending {
        match self.code {
            Some(code) => Ending::Refused(code),
            None if self.whole => Ending::Whole,
            None => Ending::Cut,
        }
    }
}

/// Whether a body is shorter than was announced; the client library does not tell.
fn is_short(body: &[u8], headers: &awc::http::header::HeaderMap) -> bool {
    let length = headers.get(awc::http::header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    length.is_some_and(|length| body.len() < length)
}

fn refused(body: &[u8]) -> Ending {
    Ending::Refused(code_of(body).unwrap_or_default())
}

/// The numbered code of a refusal, on its own or under `error`.
fn code_of(body: &[u8]) -> Option<u64> {
    let body: Value = serde_json::from_slice(body).ok()?;
    let code = body.get("code").or_else(|| body.pointer("/error/code"))?;
    code.as_u64()
}
