//! Metered usage of streams and documents, for any chunk boundaries.

use azuregap_agent::meter;
use azuregap_wire::frame;
use googletest::prelude::*;

const CHUNK_EVENTS: &str = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n\
                      data:{\"choices\":[{\"text\":\"b\"}]}\r\n\r\n\
                      : a comment\n\n";

const USAGE_EVENT: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":11,\"completion_tokens\":7}}\n\n";

const DONE_EVENT: &str = "data: [DONE]\n\n";

const fn usage(prompt: u64, output: u64) -> frame::Usage {
    frame::Usage { requests: 1, prompt, output }
}

/// Meters a response that arrives in `parts`; returns whether it was complete, and its usage.
fn meter_parts(stream: bool, parts: &[&[u8]]) -> (bool, frame::Usage) {
    let mut meter = meter::Meter::new(stream);
    parts.iter().for_each(|part| meter.push(part));
    (meter.is_done(), meter.finish())
}

#[gtest]
fn usage_does_not_depend_on_chunk_boundaries() -> Result<()> {
    let text = [CHUNK_EVENTS, USAGE_EVENT, DONE_EVENT].concat();
    for at in 0..=text.len() {
        let (start, rest) = text.as_bytes().split_at(at);
        verify_that!(meter_parts(true, &[start, rest]), eq((true, usage(11, 7))))?;
    }
    let bytes: Vec<_> = text.as_bytes().chunks(1).collect();
    verify_that!(meter_parts(true, &bytes), eq((true, usage(11, 7))))
}

#[gtest]
fn chunks_are_counted_if_the_engine_reports_no_usage() -> Result<()> {
    verify_that!(
        meter_parts(true, &[CHUNK_EVENTS.as_bytes(), DONE_EVENT.as_bytes()]),
        eq((true, usage(0, 2)))
    )
}

#[gtest]
fn stream_without_its_final_event_is_incomplete() -> Result<()> {
    let cut = [CHUNK_EVENTS, USAGE_EVENT, "data: [DONE"].concat();
    verify_that!(meter_parts(true, &[cut.as_bytes()]), eq((false, usage(11, 7))))
}

#[gtest]
fn document_is_parsed_after_its_last_byte() -> Result<()> {
    let text = br#"{"choices":[{}],"usage":{"prompt_tokens":5,"completion_tokens":6}}"#;
    let (start, rest) = text.split_at(20);
    verify_that!(meter_parts(false, &[start, rest]), eq((true, usage(5, 6))))?;
    verify_that!(meter_parts(false, &[b"not json"]), eq((true, usage(0, 0))))
}

#[gtest]
fn document_above_the_line_limit_is_metered() -> Result<()> {
    let body = "x".repeat(2 * 1024 * 1024);
    let figures = r#""usage":{"prompt_tokens":5,"completion_tokens":6}"#;
    let text = format!(r#"{{"choices":[{{"text":"{body}"}}],{figures}}}"#);
    let parts: Vec<_> = text.as_bytes().chunks(64 * 1024).collect();
    verify_that!(meter_parts(false, &parts), eq((true, usage(5, 6))))
}
