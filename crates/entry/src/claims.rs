//! Runs a job with an `Idempotency-Key` at most once, over all entries.
//!
//! The decisions are those of [`claim::Claim`]; this carries its calls to the table service, the
//! object store and the agents.

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

/// Longest answer kept in the claim row itself, in bytes; longer ones go to the object store.
const MAX_INLINE: usize = 32 * 1024;

/// Wait after a call to the table service that gave no result.
const PACE: time::Duration = time::Duration::from_millis(200);

/// How long the answer to an earlier request is waited for before it counts as running.
const ASKING: time::Duration = time::Duration::from_secs(1);

/// When to come back while the first request runs.
const COME_BACK: time::Duration = time::Duration::from_secs(1);

/// Where claims and long answers are kept.
#[derive(Clone, Debug)]
pub struct Stores {
    /// Table service.
    pub table: table::Table,
    /// Object store.
    pub objects: objects::Objects,
}

/// Key of the claim row of `job`.
#[must_use]
pub fn row_key(job: &job::Job, claim: &str) -> String {
    let digest = key::Digest::of(claim);
    let owner = if job.team.is_empty() { "open" } else { "team" };
    format!("claim/{owner}/{}/{}", job.team, hex_of(&digest))
}

fn hex_of(digest: &key::Digest) -> String {
    digest.0.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Sees a claimed job through; gives the refusal if the caller has no answer yet.
pub async fn run(
    dispatch: &mut dispatch::Dispatch,
    stores: &Stores,
    key: &str,
) -> Option<refusal::Refusal> {
    let (job, mut tried) = (dispatch.job().clone(), Vec::new());
    let row = row_key(&job, key);
    let first = match dispatch.choose(&tried) {
        Ok(agent) => agent,
        Err(refusal) => return Some(refusal),
    };
    let digest = claim::RequestDigest::of(&job.method, &job.path, &job.body);
    let mut claim = claim::Claim::new(job.id, digest, target(&first));
    let mut agent = first;
    let mut refused = None;
    // Whether the agent was chosen and not sent the request yet.
    let mut pending = true;
    let mut event = claim::Event::Start;
    loop {
        event = match claim.handle(event) {
            claim::Action::Read => read(stores, &row).await,
            claim::Action::Write { version, row: value } => {
                write(stores, &row, version, &value).await
            }
            claim::Action::Dispatch(_) => {
                tried.push(agent.node.clone());
                pending = false;
                match dispatch.once(&agent).await {
                    dispatch::Once::Whole(answer) => store_answer(stores, &job, answer).await,
                    dispatch::Once::Lost => claim::Event::Lost,
                    dispatch::Once::NotRun(refusal) => {
                        let next = dispatch.next_agent(&refusal, &tried).await;
                        refused = Some(refusal);
                        let named = next.as_ref().map(target);
                        pending = next.is_some();
                        agent = next.unwrap_or(agent);
                        claim::Event::NotRun(named)
                    }
                }
            }
            claim::Action::QueryStatus { request, target } => {
                claim::Event::StatusReceived(ask(dispatch, request, &target).await)
            }
            claim::Action::Settled(verdict) => {
                if pending {
                    dispatch.withdraw(&agent);
                }
                return tell(dispatch, stores, verdict, refused).await;
            }
            claim::Action::Pending => {
                let text = "the claim waits for nothing";
                return Some(refusal::Refusal::may_have_run(code::Code::Internal, text));
            }
        };
    }
}

fn target(agent: &directory::Agent) -> claim::Target {
    claim::Target::new(agent.node.as_str(), agent.incarnation)
}

async fn read(stores: &Stores, key: &str) -> claim::Event {
    match stores.table.read(key).await {
        Ok(None) => claim::Event::ReadDone(store::VersionedRow::absent()),
        Ok(Some(row)) => match serde_json::from_value(row.value) {
            Ok(value) => claim::Event::ReadDone(store::VersionedRow::new(row.version, value)),
            Err(error) => {
                tracing::error!(key, error = error.to_string(), "claim row is not readable");
                claim::Event::ReadFailed
            }
        },
        Err(_) => {
            tokio::time::sleep(PACE).await;
            claim::Event::ReadFailed
        }
    }
}

async fn write(stores: &Stores, key: &str, version: u64, row: &claim::ClaimRow) -> claim::Event {
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
            tokio::time::sleep(PACE).await;
            match error {
                error::PlatformError::Refused(_) => store::WriteOutcome::Refused,
                error::PlatformError::Unknown(_) => store::WriteOutcome::Unknown,
            }
        }
    };
    claim::Event::WriteDone(outcome)
}

/// Puts a long answer into the object store before the row refers to it.
async fn store_answer(stores: &Stores, job: &job::Job, answer: dispatch::Whole) -> claim::Event {
    let Some(body) = place_body(stores, job, answer.body).await else { return claim::Event::Lost };
    let header = |header: run::Header| claim::Header { name: header.name, value: header.value };
    let headers = answer.headers.into_iter().map(header).collect();
    claim::Event::Finished(claim::StoredResponse { status: answer.status, headers, body })
}

/// Without the object store an answer of moderate length is kept in the row all the same.
async fn place_body(stores: &Stores, job: &job::Job, body: Bytes) -> Option<claim::ResponseBody> {
    let length = body.len();
    if length <= MAX_INLINE {
        return Some(claim::ResponseBody::Inline(body.to_vec()));
    }
    let key = format!("answer/{:032x}", job.id);
    if stores.objects.put(key.as_str(), body.clone()).await.is_ok() {
        return Some(claim::ResponseBody::Object { key, length: length as u64 });
    }
    (length <= dispatch::MAX_HELD).then(|| claim::ResponseBody::Inline(body.to_vec()))
}

async fn load_answer(stores: &Stores, answer: claim::StoredResponse) -> Option<dispatch::Whole> {
    let body = match answer.body {
        claim::ResponseBody::Inline(bytes) => Bytes::from(bytes),
        claim::ResponseBody::Object { key, .. } => stores.objects.read(key).await.ok()??,
    };
    let header = |header: claim::Header| run::Header { name: header.name, value: header.value };
    let headers = answer.headers.into_iter().map(header).collect();
    Some(dispatch::Whole { status: answer.status, headers, body })
}

/// Asks the agent named in a claim what became of the earlier request.
async fn ask(
    dispatch: &dispatch::Dispatch,
    request: ids::RequestId,
    target: &claim::Target,
) -> claim::RequestStatus {
    let Some(agent) = dispatch.agent(&target.agent) else { return claim::RequestStatus::Unknown };
    let resume = run::ResumeRequest {
        protocol: azuregap_wire::PROTOCOL,
        id: request,
        incarnation: target.incarnation,
        offset: 0,
        recent: false,
    };
    let read = read_earlier(dispatch, &agent.runs, &resume);
    tokio::time::timeout(ASKING, read).await.unwrap_or(claim::RequestStatus::Running)
}

async fn read_earlier(
    dispatch: &dispatch::Dispatch,
    runs: &str,
    resume: &run::ResumeRequest,
) -> claim::RequestStatus {
    let Ok(mut link) = dispatch.clients().resume(runs, resume, ASKING * 2).await else {
        return claim::RequestStatus::Unknown;
    };
    let (mut head, mut body) = (None, BytesMut::new());
    loop {
        match link.next_frame().await {
            Ok(frame::Frame::Head { status, headers }) => head = Some((status, headers)),
            Ok(frame::Frame::Data { bytes, .. }) => body.extend_from_slice(&bytes),
            Ok(frame::Frame::End { length, .. }) if length == body.len() as u64 => {
                let Some((status, headers)) = head else { return claim::RequestStatus::Unknown };
                if body.len() > MAX_INLINE {
                    return claim::RequestStatus::Running;
                }
                let mut answer = claim::StoredResponse::new(status, body.to_vec());
                for header in headers {
                    answer = answer.header(header.name, header.value);
                }
                return claim::RequestStatus::Done(answer);
            }
            Ok(frame::Frame::Refused { refusal, .. }) => return sort(&refusal),
            Ok(frame::Frame::Accepted { .. } | frame::Frame::Heartbeat { .. }) => {}
            Ok(frame::Frame::End { .. }) | Err(_) => return claim::RequestStatus::Unknown,
        }
    }
}

/// What a refusal of the earlier request means.
fn sort(refusal: &refusal::Refusal) -> claim::RequestStatus {
    match (refusal.not_run, refusal.code) {
        (true, _) => claim::RequestStatus::NotRun,
        (false, code::Code::RunUnknown) => claim::RequestStatus::IncarnationGone,
        (false, _) => claim::RequestStatus::Unknown,
    }
}

/// Tells the caller how the claim ended, unless it has the answer.
async fn tell(
    dispatch: &dispatch::Dispatch,
    stores: &Stores,
    verdict: claim::Outcome,
    refused: Option<refusal::Refusal>,
) -> Option<refusal::Refusal> {
    let unknown = || {
        let text = "whether the request ran under this Idempotency-Key is not known";
        refusal::Refusal::may_have_run(code::Code::OutcomeUnknown, text)
    };
    match verdict {
        claim::Outcome::Ran { stored } => {
            if !stored {
                tracing::warn!(request = dispatch.id_text(), "the answer is not stored");
            }
            None
        }
        claim::Outcome::Replayed(answer) => match load_answer(stores, answer).await {
            Some(whole) => {
                dispatch.repeat(whole).await;
                None
            }
            None => {
                let text = "the stored answer cannot be read now";
                let refusal = refusal::Refusal::may_have_run(code::Code::StoreUnavailable, text);
                Some(refusal.retry_after(COME_BACK))
            }
        },
        claim::Outcome::Running => {
            let text = "a request with this Idempotency-Key is running";
            let refusal = refusal::Refusal::may_have_run(code::Code::ClaimRunning, text);
            Some(refusal.retry_after(COME_BACK))
        }
        claim::Outcome::Unknown => Some(unknown()),
        claim::Outcome::KeyReused => {
            let text = "this Idempotency-Key stands for another request";
            Some(refusal::Refusal::not_run(code::Code::ClaimKeyReused, text))
        }
        claim::Outcome::NotRun(_) => Some(refused.unwrap_or_else(|| {
            let text = "the claim was given up before the request was sent";
            refusal::Refusal::not_run(code::Code::StoreUnavailable, text).retry_after(COME_BACK)
        })),
        claim::Outcome::NotAttempted(_) => {
            let text = "this request was not run; whether an earlier one with the same \
                        Idempotency-Key was cannot be read now";
            let refusal = refusal::Refusal::may_have_run(code::Code::StoreUnavailable, text);
            Some(refusal.retry_after(COME_BACK))
        }
    }
}
