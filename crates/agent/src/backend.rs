//! HTTP client that runs requests and orders at the backend server and buffers its responses.

use std::ops;
use std::str;
use std::time;

use awc::http::header;
use awc::http::uri;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_wire::control;
use azuregap_wire::run;
use futures::StreamExt as _;

use crate::meter;
use crate::orders;
use crate::response;

/// Header that carries the request id to the backend server.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that carries the priority to an engine; 0 is the highest.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header that tells an engine how many bytes of the response were already produced.
pub const OFFSET_HEADER: &str = "x-resume-offset";

/// Path of an engine's endpoint for orders.
const ORDERS_PATH: &str = "/orders";

/// Statuses that a request may end with.
const FINAL_STATUSES: ops::Range<u16> = 200..600;

/// Timeout of a call that executes an order.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Longest time without data from the backend server in the middle of a response.
pub const STALL_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// Response headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP_HEADERS: &[&str] =
    &["connection", "transfer-encoding", "keep-alive", "content-length"];

/// Client of the backend server.
#[derive(Clone)]
pub struct BackendClient {
    /// URL without a trailing slash.
    pub base_url: String,
    /// Whether the backend server is a model engine, which ends its streams with a final event.
    pub is_model: bool,
    client: awc::Client,
}

impl std::fmt::Debug for BackendClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BackendClient").field("base_url", &self.base_url).finish_non_exhaustive()
    }
}

impl BackendClient {
    /// Creates a client of the backend server at `base_url`.
    #[must_use]
    pub fn new(base_url: impl Into<String>, is_model: bool) -> Self {
        let client = azuregap_platform::strict::client();
        Self { base_url: base_url.into(), is_model, client }
    }

    /// Runs `request` once and writes the response and its usage into `response`; returns the
    /// reason on failure.
    pub async fn run(
        &self,
        request: &run::RunRequest,
        response: &response::ResponseBuffer,
    ) -> Option<refusal::Refusal> {
        let call = self.call(request, response);
        match tokio::time::timeout(request.deadline, call).await {
            Ok(Ok(())) => None,
            Ok(Err(refusal)) => Some(refusal),
            Err(_) => Some(may_have_run(code::Code::DeadlinePassed, "the deadline passed")),
        }
    }

    async fn call(
        &self,
        request: &run::RunRequest,
        response: &response::ResponseBuffer,
    ) -> Result<(), refusal::Refusal> {
        let mut upstream = self.send(request).await?;
        let status = upstream.status();
        if !FINAL_STATUSES.contains(&status.as_u16()) {
            return Err(backend_failed(format!("status {status} is none of a final answer")));
        }
        if self.is_model && status.is_server_error() {
            return Err(backend_failed(format!("the engine answered {status}")));
        }
        let stream = self.is_model && is_event_stream(upstream.headers());
        let mut meter = meter::Meter::new(stream);
        let headers = end_to_end_headers(upstream.headers());
        response.set_head(response::Head { status: status.as_u16(), headers });
        loop {
            let next = tokio::time::timeout(STALL_TIMEOUT, upstream.next()).await;
            match next.map_err(|_| backend_failed("the answer stalled"))? {
                Some(Ok(bytes)) => {
                    meter.push(&bytes);
                    if !response.append(&bytes, meter.usage()) {
                        return Err(backend_failed("the answer is too large"));
                    }
                }
                Some(Err(error)) => return Err(backend_failed(error)),
                None if meter.is_done() => break,
                None => return Err(backend_failed("the stream ended without its last event")),
            }
        }
        response.set_usage(meter.finish());
        Ok(())
    }

    /// Sends `order` to the backend server.
    pub async fn execute_order(&self, order: &control::Order) -> orders::Outcome {
        let url = format!("{}{ORDERS_PATH}", self.base_url);
        let call = self.client.post(url).timeout(ORDER_TIMEOUT).send_json(order);
        match call.await {
            Ok(upstream) if upstream.status().is_success() => orders::Outcome::Done,
            Ok(upstream) if upstream.status().is_client_error() => {
                orders::Outcome::Refused(format!("the engine answered {}", upstream.status()))
            }
            Ok(upstream) => {
                orders::Outcome::Unknown(format!("the engine answered {}", upstream.status()))
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
        let url = format!("{}{}", self.base_url, request.path);
        let url: uri::Uri = url.parse().map_err(|_| unusable_request("path"))?;
        let method: awc::http::Method =
            request.method.parse().map_err(|_| unusable_request("method"))?;
        let mut call = self.client.request(method, url);
        for run::Header { name, value } in &request.headers {
            call = call.insert_header((name.as_str(), value.as_str()));
        }
        call = call
            .insert_header((REQUEST_ID_HEADER, format!("{:032x}", request.id)))
            .insert_header((PRIORITY_HEADER, request.tier.to_string()));
        if request.offset > 0 {
            call = call.insert_header((OFFSET_HEADER, request.offset.to_string()));
        }
        call.send_body(request.body.clone()).await.map_err(|error| match error {
            awc::error::SendRequestError::Connect(awc::error::ConnectError::Disconnected) => {
                backend_failed(error)
            }
            awc::error::SendRequestError::Connect(_) => {
                refusal::Refusal::not_run(code::Code::BackendFailed, error.to_string())
            }
            other => backend_failed(other),
        })
    }
}

fn end_to_end_headers(headers: &header::HeaderMap) -> Vec<run::Header> {
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .filter_map(|(name, value)| {
            let value = str::from_utf8(value.as_bytes()).ok()?.to_owned();
            Some(run::Header { name: name.as_str().to_owned(), value })
        })
        .collect()
}

fn is_event_stream(headers: &header::HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_some_and(|content_type| content_type.starts_with("text/event-stream"))
}

fn unusable_request(part: &str) -> refusal::Refusal {
    refusal::Refusal::not_run(code::Code::BodyInvalid, format!("the {part} cannot be used"))
}

fn backend_failed(reason: impl ToString) -> refusal::Refusal {
    may_have_run(code::Code::BackendFailed, reason)
}

fn may_have_run(code: code::Code, reason: impl ToString) -> refusal::Refusal {
    refusal::Refusal::may_have_run(code, reason.to_string())
}
