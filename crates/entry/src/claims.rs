//! Runs a request with an `Idempotency-Key` at most once across all entries.
//!
//! [`claim::Claim`] makes the decisions. This module carries out its actions at the table service,
//! the object store and the agents.

use std::time;

use azuregap_control::directory;
use azuregap_coordination::claim;
use azuregap_coordination::store;
use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::key;
use azuregap_core::refusal;
use azuregap_platform::error;
use azuregap_platform::objects;
use azuregap_platform::table;
use azuregap_wire::frame;
use azuregap_wire::run;
use bytes::Bytes;
use bytes::BytesMut;

use crate::dispatch;
use crate::job;

/// Largest response body stored in the claim row itself, in bytes; larger ones go to the object
/// store.
const MAX_INLINE_BYTES: usize = 32 * 1024;

/// Delay before retrying a failed call to the table service.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);

/// Time limit for reading the response to an earlier request; after it, the request counts as
/// running.
const QUERY_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// `Retry-After` of a refusal while an earlier request runs or its stored response can't be read.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Storage for claims and large responses.
#[derive(Clone, Debug)]
pub struct Stores {
    /// Table service.
    pub table: table::Table,
    /// Object store.
    pub objects: objects::Objects,
}

/// Key of the claim row for `job` and its `idempotency_key`. It holds only a digest of the latter.
#[must_use]
pub fn row_key(job: &job::Job, idempotency_key: &str) -> String {
    let digest = key::Digest::of(idempotency_key);
    let owner = if job.team.is_empty() { "open" } else { "team" };
    format!("claim/{owner}/{}/{}", job.team, hex(&digest))
}

fn hex(digest: &key::Digest) -> String {
    digest.0.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Runs a claimed request to its end; returns a refusal if no response was sent to the caller.
pub async fn run(
    runner: &mut dispatch::JobRunner,
    stores: &Stores,
    idempotency_key: &str,
) -> Option<refusal::Refusal> {
    let (job, mut tried) = (runner.job().clone(), Vec::new());
    let row = row_key(&job, idempotency_key);
    let first_agent = match runner.select_agent(&tried) {
        Ok(agent) => agent,
        Err(refusal) => return Some(refusal),
    };
    let digest = claim::RequestDigest::of(&job.method, &job.target, &job.body);
    let mut claim = claim::Claim::new(job.id, digest, agent_target(&first_agent));
    let mut agent = first_agent;
    let mut last_refusal = None;
    // Whether an agent was selected but not yet sent the request.
    let mut selection_unused = true;
    let mut event = claim::Event::Start;
    loop {
        event = match claim.handle(event) {
            claim::Action::Read => read_row(stores, &row).await,
            claim::Action::Write { version, row: value } => {
                write_row(stores, &row, version, &value).await
            }
            claim::Action::Dispatch(_) => {
                tried.push(agent.node.clone());
                selection_unused = false;
                match runner.attempt_claimed(&agent).await {
                    dispatch::ClaimedOutcome::Complete(response) => {
                        store_response(stores, &job, response).await
                    }
                    dispatch::ClaimedOutcome::Unknown => claim::Event::Lost,
                    dispatch::ClaimedOutcome::NotRun(refusal) => {
                        let next = runner.select_retry_agent(&refusal, &tried).await;
                        last_refusal = Some(refusal);
                        let next_target = next.as_ref().map(agent_target);
                        selection_unused = next.is_some();
                        agent = next.unwrap_or(agent);
                        claim::Event::NotRun(next_target)
                    }
                }
            }
            claim::Action::QueryStatus { request, target } => {
                claim::Event::StatusReceived(query_status(runner, request, &target).await)
            }
            claim::Action::Settled(outcome) => {
                if selection_unused {
                    runner.cancel_selection(&agent);
                }
                return report_outcome(runner, stores, outcome, last_refusal).await;
            }
            claim::Action::Pending => {
                let text = "the claim waits for nothing";
                return Some(refusal::Refusal::may_have_run(code::Code::Internal, text));
            }
        };
    }
}

fn agent_target(agent: &directory::Agent) -> claim::Target {
    claim::Target::new(agent.node.as_str(), agent.incarnation)
}

async fn read_row(stores: &Stores, key: &str) -> claim::Event {
    match stores.table.read(key).await {
        Ok(None) => claim::Event::ReadDone(store::VersionedRow::absent()),
        Ok(Some(row)) => match serde_json::from_value(row.value) {
            Ok(value) => claim::Event::ReadDone(store::VersionedRow::new(row.version, value)),
            Err(error) => {
                tracing::error!(key, error = error.to_string(), "claim row cannot be decoded");
                claim::Event::ReadFailed
            }
        },
        Err(_) => {
            tokio::time::sleep(RETRY_DELAY).await;
            claim::Event::ReadFailed
        }
    }
}

async fn write_row(
    stores: &Stores,
    key: &str,
    version: u64,
    row: &claim::ClaimRow,
) -> claim::Event {
    let Ok(value) = serde_json::to_value(row) else {
        return claim::Event::WriteDone(store::WriteOutcome::Refused);
    };
    let transaction = table::Transaction::new().check(key, version).put(key, value);
    let outcome = match stores.table.commit(transaction).await {
        Ok(table::Commit::Applied(versions)) => {
            store::WriteOutcome::Applied(versions.first().copied().unwrap_or(version + 1))
        }
        Ok(table::Commit::Conflict(_)) => store::WriteOutcome::Conflict,
        Err(error) => {
            tokio::time::sleep(RETRY_DELAY).await;
            match error {
                error::PlatformError::Refused(_) => store::WriteOutcome::Refused,
                error::PlatformError::Unknown(_) => store::WriteOutcome::Unknown,
            }
        }
    };
    claim::Event::WriteDone(outcome)
}

/// Prepares a response for the claim row. A large body is written to the object store before the
/// row refers to it.
async fn store_response(
    stores: &Stores,
    job: &job::Job,
    response: dispatch::FullResponse,
) -> claim::Event {
    let Some(body) = store_body(stores, job, response.body).await else {
        return claim::Event::Lost;
    };
    let header = |header: run::Header| claim::Header { name: header.name, value: header.value };
    let headers = response.headers.into_iter().map(header).collect();
    claim::Event::Finished(claim::StoredResponse { status: response.status, headers, body })
}

/// Stores a response body. If the object store fails, a body of at most
/// [`dispatch::MAX_BUFFERED_BYTES`] is stored in the row instead.
async fn store_body(stores: &Stores, job: &job::Job, body: Bytes) -> Option<claim::ResponseBody> {
    let length = body.len();
    if length <= MAX_INLINE_BYTES {
        return Some(claim::ResponseBody::Inline(body.to_vec()));
    }
    let key = format!("answer/{:032x}", job.id);
    if stores.objects.put(key.as_str(), body.clone()).await.is_ok() {
        return Some(claim::ResponseBody::Object { key, length: length as u64 });
    }
    (length <= dispatch::MAX_BUFFERED_BYTES).then(|| claim::ResponseBody::Inline(body.to_vec()))
}

async fn load_response(
    stores: &Stores,
    response: claim::StoredResponse,
) -> Option<dispatch::FullResponse> {
    let body = match response.body {
        claim::ResponseBody::Inline(bytes) => Bytes::from(bytes),
        claim::ResponseBody::Object { key, .. } => stores.objects.read(key).await.ok()??,
    };
    let header = |header: claim::Header| run::Header { name: header.name, value: header.value };
    let headers = response.headers.into_iter().map(header).collect();
    Some(dispatch::FullResponse { status: response.status, headers, body })
}

/// Queries the agent named in a claim for the outcome of the earlier request.
async fn query_status(
    runner: &dispatch::JobRunner,
    request: ids::RequestId,
    target: &claim::Target,
) -> claim::RequestStatus {
    let Some(agent) = runner.agent(&target.agent) else { return claim::RequestStatus::Unknown };
    let resume = run::ResumeRequest {
        protocol: azuregap_wire::PROTOCOL,
        id: request,
        incarnation: target.incarnation,
        offset: 0,
        recent: false,
    };
    let read = read_earlier_run(runner, &agent.runs, &resume);
    tokio::time::timeout(QUERY_TIMEOUT, read).await.unwrap_or(claim::RequestStatus::Running)
}

async fn read_earlier_run(
    runner: &dispatch::JobRunner,
    address: &str,
    resume: &run::ResumeRequest,
) -> claim::RequestStatus {
    let Ok(mut stream) = runner.client().resume(address, resume, QUERY_TIMEOUT * 2).await else {
        return claim::RequestStatus::Unknown;
    };
    let (mut head, mut body) = (None, BytesMut::new());
    loop {
        match stream.next_frame().await {
            Ok(frame::Frame::Head { status, headers }) => head = Some((status, headers)),
            Ok(frame::Frame::Data { bytes, .. }) => body.extend_from_slice(&bytes),
            Ok(frame::Frame::End { length, .. }) if length == body.len() as u64 => {
                let Some((status, headers)) = head else { return claim::RequestStatus::Unknown };
                if body.len() > MAX_INLINE_BYTES {
                    return claim::RequestStatus::Running;
                }
                let mut response = claim::StoredResponse::new(status, body.to_vec());
                for header in headers {
                    response = response.header(header.name, header.value);
                }
                return claim::RequestStatus::Done(response);
            }
            Ok(frame::Frame::Refused { refusal, .. }) => return status_of(&refusal),
            Ok(frame::Frame::Accepted { .. } | frame::Frame::Heartbeat { .. }) => {}
            Ok(frame::Frame::End { .. }) | Err(_) => return claim::RequestStatus::Unknown,
        }
    }
}

/// Maps an agent's refusal to the state of the earlier request.
fn status_of(refusal: &refusal::Refusal) -> claim::RequestStatus {
    match (refusal.not_run, refusal.code) {
        (true, _) => claim::RequestStatus::NotRun,
        (false, code::Code::RunUnknown) => claim::RequestStatus::IncarnationGone,
        (false, _) => claim::RequestStatus::Unknown,
    }
}

/// Sends the caller a stored response, or returns the refusal for `outcome`; `None` if the caller
/// has a response.
async fn report_outcome(
    runner: &dispatch::JobRunner,
    stores: &Stores,
    outcome: claim::Outcome,
    last_refusal: Option<refusal::Refusal>,
) -> Option<refusal::Refusal> {
    let unknown = || {
        let text = "whether the request ran under this Idempotency-Key is not known";
        refusal::Refusal::may_have_run(code::Code::OutcomeUnknown, text)
    };
    match outcome {
        claim::Outcome::Ran { stored } => {
            if !stored {
                tracing::warn!(
                    request = runner.id_hex(),
                    "response of claimed request was not stored"
                );
            }
            None
        }
        claim::Outcome::Replayed(response) => match load_response(stores, response).await {
            Some(response) => {
                runner.replay(response).await;
                None
            }
            None => {
                let text = "the stored answer cannot be read now";
                let refusal = refusal::Refusal::may_have_run(code::Code::StoreUnavailable, text);
                Some(refusal.retry_after(RETRY_AFTER))
            }
        },
        claim::Outcome::Running => {
            let text = "a request with this Idempotency-Key is running";
            let refusal = refusal::Refusal::may_have_run(code::Code::ClaimRunning, text);
            Some(refusal.retry_after(RETRY_AFTER))
        }
        claim::Outcome::Unknown => Some(unknown()),
        claim::Outcome::KeyReused => {
            let text = "this Idempotency-Key stands for another request";
            Some(refusal::Refusal::not_run(code::Code::ClaimKeyReused, text))
        }
        claim::Outcome::NotRun(_) => Some(last_refusal.unwrap_or_else(|| {
            let text = "the claim was given up before the request was sent";
            refusal::Refusal::not_run(code::Code::StoreUnavailable, text).retry_after(RETRY_AFTER)
        })),
        claim::Outcome::NotAttempted(_) => {
            let text = "this request was not run; whether an earlier one with the same \
                        Idempotency-Key was cannot be read now";
            let refusal = refusal::Refusal::may_have_run(code::Code::StoreUnavailable, text);
            Some(refusal.retry_after(RETRY_AFTER))
        }
    }
}
