//! Calls the backend server for one run and writes its answer down.

use std::str;
use std::time;

use awc::http::header;
use awc::http::uri;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_wire::control;
use azuregap_wire::run;
use futures::StreamExt as _;

use crate::answer;
use crate::meter;
use crate::orders;

/// Header by which the backend server learns the request id.
pub const ID_HEADER: &str = "x-request-id";

/// Header by which an engine learns the priority; 0 goes first.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header by which an engine learns how many bytes of the answer exist already.
pub const OFFSET_HEADER: &str = "x-resume-offset";

/// Path at which an engine takes orders.
const ORDERS_PATH: &str = "/orders";

/// How long an order may take.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// How long a backend server may be silent within an answer.
pub const STALL: time::Duration = time::Duration::from_secs(5);

/// Headers of an answer that belong to one connection only.
const HOP_HEADERS: &[&str] = &["connection", "transfer-encoding", "keep-alive", "content-length"];

/// Where and how the backend server is called.
#[derive(Clone)]
pub struct Engine {
    /// URL without a trailing slash.
    pub base: String,
    /// Whether it is a model engine, which ends streams explicitly.
    pub model: bool,
    client: awc::Client,
}

impl std::fmt::Debug for Engine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Engine").field("base", &self.base).finish_non_exhaustive()
    }
}

impl Engine {
    /// The backend server at `base`.
    #[must_use]
    pub fn new(base: impl Into<String>, model: bool) -> Self {
        let client = azuregap_platform::strict::client();
        Self { base: base.into(), model, client }
    }

    /// Runs `request` once, writing answer and usage into `answer`; gives why it failed, if so.
    pub async fn run(
        &self,
        request: &run::RunRequest,
        answer: &answer::Answer,
    ) -> Option<refusal::Refusal> {
        let call = self.call(request, answer);
        match tokio::time::timeout(request.deadline, call).await {
            Ok(Ok(())) => None,
            Ok(Err(refusal)) => Some(refusal),
            Err(_) => Some(failed(code::Code::DeadlinePassed, "the deadline passed")),
        }
    }

    async fn call(
        &self,
        request: &run::RunRequest,
        answer: &answer::Answer,
    ) -> Result<(), refusal::Refusal> {
        let mut response = self.send(request).await?;
        let status = response.status();
        if self.model && status.is_server_error() {
            return Err(backend(format!("the engine answered {status}")));
        }
        let stream = self.model && is_events(response.headers());
        let mut meter = meter::Meter::new(stream);
        let headers = kept_headers(response.headers());
        answer.set_head(answer::Head { status: status.as_u16(), headers });
        loop {
            let next = tokio::time::timeout(STALL, response.next()).await;
            match next.map_err(|_| backend("the answer stalled"))? {
                Some(Ok(bytes)) => {
                    meter.push(&bytes);
                    if !answer.push(&bytes, meter.so_far()) {
                        return Err(backend("the answer is too large"));
                    }
                }
                Some(Err(error)) => return Err(backend(error)),
                None if meter.is_done() => break,
                None => return Err(backend("the stream ended without its last event")),
            }
        }
        answer.set_usage(meter.finish());
        Ok(())
    }

    /// Carries an order out at the backend server.
    pub async fn order(&self, order: &control::Order) -> orders::Outcome {
        let url = format!("{}{ORDERS_PATH}", self.base);
        let call = self.client.post(url).timeout(ORDER_TIMEOUT).send_json(order);
        match call.await {
            Ok(response) if response.status().is_success() => orders::Outcome::Done,
            Ok(response) if response.status().is_client_error() => {
                orders::Outcome::Refused(format!("the engine answered {}", response.status()))
            }
            Ok(response) => {
                orders::Outcome::Unknown(format!("the engine answered {}", response.status()))
            }
            Err(error) => orders::Outcome::Unknown(error.to_string()),
        }
    }

    async fn send(
        &self,
        request: &run::RunRequest,
    ) -> Result<
        awc::ClientResponse<
            impl futures::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + use<>,
        >,
        refusal::Refusal,
    > {
        let url = format!("{}{}", self.base, request.path);
        let url: uri::Uri = url.parse().map_err(|_| bad_request("path"))?;
        let method: awc::http::Method =
            request.method.parse().map_err(|_| bad_request("method"))?;
        let mut call = self.client.request(method, url);
        for run::Header { name, value } in &request.headers {
            call = call.insert_header((name.as_str(), value.as_str()));
        }
        call = call
            .insert_header((ID_HEADER, format!("{:032x}", request.id)))
            .insert_header((PRIORITY_HEADER, request.tier.to_string()));
        if request.offset > 0 {
            call = call.insert_header((OFFSET_HEADER, request.offset.to_string()));
        }
        call.send_body(request.body.clone()).await.map_err(|error| match error {
            awc::error::SendRequestError::Connect(awc::error::ConnectError::Disconnected) => {
                backend(error)
            }
            awc::error::SendRequestError::Connect(_) => {
                refusal::Refusal::not_run(code::Code::BackendFailed, error.to_string())
            }
            other => backend(other),
        })
    }
}

fn kept_headers(headers: &header::HeaderMap) -> Vec<run::Header> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            let value = str::from_utf8(value.as_bytes()).ok()?.to_owned();
            Some(run::Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}

fn is_events(headers: &header::HeaderMap) -> bool {
    let kind = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

fn bad_request(part: &str) -> refusal::Refusal {
    refusal::Refusal::not_run(code::Code::BodyInvalid, format!("the {part} cannot be used"))
}

fn backend(reason: impl ToString) -> refusal::Refusal {
    failed(code::Code::BackendFailed, reason)
}

fn failed(code: code::Code, reason: impl ToString) -> refusal::Refusal {
    refusal::Refusal::may_have_run(code, reason.to_string())
}
