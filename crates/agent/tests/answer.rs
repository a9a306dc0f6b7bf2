//! What a reader of an answer is given, from whichever offset it starts.

use azuregap_agent::answer;
use azuregap_core::code;
use azuregap_core::refusal;
use azuregap_wire::frame;
use googletest::prelude::*;

const TEXT: &[u8] = b"a summary of the savings";

const BASE: u64 = 5;

const USAGE: frame::Usage = frame::Usage { requests: 1, prompt: 3, output: 4 };

const fn teller() -> answer::Teller {
    let load = frame::Load { running: 1, waiting: 0, slots: 2, backlog: 9 };
    answer::Teller { incarnation: 7, version: 2, load }
}

/// An answer that has bytes from [`BASE`] on and has not ended.
fn begun() -> answer::Answer {
    let answer = answer::Answer::new(1, BASE);
    answer.set_head(answer::Head { status: 200, headers: Vec::new() });
    assert!(answer.push(TEXT, USAGE));
    answer
}

fn failure() -> refusal::Refusal {
    refusal::Refusal::may_have_run(code::Code::BackendFailed, "the engine crashed")
}

/// Names of the frames until the reader has to wait, and the bytes they carry in order.
fn read(answer: &answer::Answer, cursor: &mut answer::Cursor) -> (String, Vec<u8>) {
    let (mut names, mut bytes) = (Vec::new(), Vec::new());
    while let Some(frame) = answer.next_frame(cursor, teller()) {
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
fn every_offset_gives_the_rest_and_the_length_of_the_whole() -> Result<()> {
    let answer = begun();
    answer.finish(answer::End::Whole(USAGE));
    let length = BASE + TEXT.len() as u64;
    for offset in BASE..=length {
        let mut cursor = answer::Cursor::new(offset);
        let (names, bytes) = read(&answer, &mut cursor);
        let rest = &TEXT[(offset - BASE) as usize..];
        let data =
            if rest.is_empty() { String::new() } else { format!("data {offset}+{}, ", rest.len()) };
        verify_that!(names, eq(&format!("accepted, head 200, {data}end {length}")))?;
        verify_that!(bytes, eq(rest))?;
        verify_that!(cursor.is_ended(), eq(true))?;
    }
    Ok(())
}

#[gtest]
fn a_reader_below_the_first_byte_kept_is_refused_and_not_told_not_run() -> Result<()> {
    let answer = begun();
    let (names, bytes) = read(&answer, &mut answer::Cursor::new(BASE - 1));
    verify_that!((names.as_str(), bytes.len()), eq(("refused AnswerCut not_run false", 0)))
}

#[gtest]
fn a_failure_follows_the_bytes_that_came_before_it() -> Result<()> {
    let answer = begun();
    let mut cursor = answer::Cursor::new(BASE);
    verify_that!(read(&answer, &mut cursor).0, eq("accepted, head 200, data 5+24"))?;
    assert!(answer.push(b" and", USAGE));
    answer.finish(answer::End::Failed(failure()));
    let refused = "refused BackendFailed not_run false";
    verify_that!(read(&answer, &mut cursor).0, eq(&format!("data 29+4, {refused}")))?;
    verify_that!(cursor.is_ended(), eq(true))?;
    verify_that!(read(&answer, &mut answer::Cursor::new(BASE)).0, eq(refused))
}

#[gtest]
fn the_first_end_counts() -> Result<()> {
    let answer = begun();
    answer.finish(answer::End::Failed(failure()));
    answer.finish(answer::End::Whole(USAGE));
    verify_that!(read(&answer, &mut answer::Cursor::new(BASE)).0, starts_with("refused"))
}

#[gtest]
fn a_long_answer_comes_in_frames_of_bounded_size_and_one_too_long_is_not_taken() -> Result<()> {
    let answer = begun();
    let long = vec![b'x'; 600 * 1024];
    verify_that!(answer.push(&long, USAGE), eq(true))?;
    let (names, bytes) = read(&answer, &mut answer::Cursor::new(BASE));
    verify_that!(names.matches("data").count(), eq(3))?;
    verify_that!(bytes.len(), eq(TEXT.len() + long.len()))?;
    verify_that!(answer.push(&vec![0; answer::MAX_ANSWER], USAGE), eq(false))
}
