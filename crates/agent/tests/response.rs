//! Frames that a reader receives from each offset of a response.

use azuregap_agent::response;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_wire::frame;
use googletest::prelude::*;

const BODY: &[u8] = b"a summary of the savings";

const START_OFFSET: u64 = 5;

const USAGE: frame::Usage = frame::Usage { requests: 1, prompt: 3, output: 4 };

const fn agent_info() -> response::AgentInfo {
    let load = frame::Load { running: 1, waiting: 0, slots: 2, backlog: 9 };
    response::AgentInfo { incarnation: 7, version: 2, load }
}

/// An unfinished response that has bytes from [`START_OFFSET`] on.
fn partial_response() -> response::ResponseBuffer {
    let response = response::ResponseBuffer::new(1, START_OFFSET);
    response.set_head(response::Head { status: 200, headers: Vec::new() });
    assert!(response.append(BODY, USAGE));
    response
}

fn failure() -> refusal::Refusal {
    refusal::Refusal::may_have_run(code::Code::BackendFailed, "the engine crashed")
}

/// Describes the frames that are available and concatenates their payloads.
fn read_frames(
    response: &response::ResponseBuffer,
    cursor: &mut response::Cursor,
) -> (String, Vec<u8>) {
    let (mut names, mut bytes) = (Vec::new(), Vec::new());
    while let Some(frame) = response.next_frame(cursor, agent_info()) {
        names.push(match frame {
            frame::Frame::Accepted { id: 1, incarnation: 7, version: 2, .. } => "accepted".into(),
            frame::Frame::Head { status, .. } => format!("head {status}"),
            frame::Frame::Data { offset, bytes: part } => {
                bytes.extend_from_slice(&part);
                format!("data {offset}+{}", part.len())
            }
            frame::Frame::End { length, usage: USAGE, .. } => format!("end {length}"),
            frame::Frame::Refused { refusal, .. } => {
                format!("refused {:?} not_run {}", refusal.code, refusal.not_run)
            }
            other => format!("{other:?}"),
        });
    }
    (names.join(", "), bytes)
}

#[gtest]
fn reading_from_each_offset_returns_the_remaining_bytes_and_total_length() -> Result<()> {
    let response = partial_response();
    response.finish(response::Outcome::Complete(USAGE));
    let length = START_OFFSET + BODY.len() as u64;
    for offset in START_OFFSET..=length {
        let mut cursor = response::Cursor::new(offset);
        let (names, bytes) = read_frames(&response, &mut cursor);
        let rest = &BODY[(offset - START_OFFSET) as usize..];
        let data =
            if rest.is_empty() { String::new() } else { format!("data {offset}+{}, ", rest.len()) };
        verify_that!(names, eq(&format!("accepted, head 200, {data}end {length}")))?;
        verify_that!(bytes, eq(rest))?;
        verify_that!(cursor.is_ended(), eq(true))?;
    }
    Ok(())
}

#[gtest]
fn offset_before_the_buffer_is_refused_as_may_have_run() -> Result<()> {
    let response = partial_response();
    let (names, bytes) = read_frames(&response, &mut response::Cursor::new(START_OFFSET - 1));
    verify_that!((names.as_str(), bytes.len()), eq(("refused AnswerCut not_run false", 0)))
}

#[gtest]
fn failure_is_sent_after_the_buffered_bytes() -> Result<()> {
    let response = partial_response();
    let mut cursor = response::Cursor::new(START_OFFSET);
    verify_that!(read_frames(&response, &mut cursor).0, eq("accepted, head 200, data 5+24"))?;
    assert!(response.append(b" and", USAGE));
    response.finish(response::Outcome::Failed(failure()));
    let refused = "refused BackendFailed not_run false";
    verify_that!(read_frames(&response, &mut cursor).0, eq(&format!("data 29+4, {refused}")))?;
    verify_that!(cursor.is_ended(), eq(true))?;
    verify_that!(read_frames(&response, &mut response::Cursor::new(START_OFFSET)).0, eq(refused))
}

#[gtest]
fn first_outcome_is_kept() -> Result<()> {
    let response = partial_response();
    response.finish(response::Outcome::Failed(failure()));
    response.finish(response::Outcome::Complete(USAGE));
    verify_that!(
        read_frames(&response, &mut response::Cursor::new(START_OFFSET)).0,
        starts_with("refused")
    )
}

#[gtest]
fn long_responses_are_split_into_frames_and_oversized_ones_are_rejected() -> Result<()> {
    let response = partial_response();
    let long = vec![b'x'; 600 * 1024];
    verify_that!(response.append(&long, USAGE), eq(true))?;
    let (names, bytes) = read_frames(&response, &mut response::Cursor::new(START_OFFSET));
    verify_that!(names.matches("data").count(), eq(3))?;
    verify_that!(bytes.len(), eq(BODY.len() + long.len()))?;
    verify_that!(response.append(&vec![0; response::MAX_RESPONSE_BYTES], USAGE), eq(false))
}
