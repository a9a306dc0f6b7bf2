//! What is billed, however the engine's bytes are cut.

use azuregap_agent::meter;
use azuregap_wire::frame;
use googletest::prelude::*;

const CHUNKS: &str = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n\
                      data:{\"choices\":[{\"text\":\"b\"}]}\r\n\r\n\
                      : a comment\n\n";

const FIGURES: &str =
    "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":11,\"completion_tokens\":7}}\n\n";

const DONE: &str = "data: [DONE]\n\n";

const fn usage(prompt: u64, output: u64) -> frame::Usage {
    frame::Usage { requests: 1, prompt, output }
}

/// Whether the stream was over, and what it used, when it came in these parts.
fn metered(stream: bool, parts: &[&[u8]]) -> (bool, frame::Usage) {
    let mut meter = meter::Meter::new(stream);
    parts.iter().for_each(|part| meter.push(part));
    (meter.is_done(), meter.finish())
}

#[gtest]
fn a_stream_is_metered_alike_wherever_it_is_cut() -> Result<()> {
    let text = [CHUNKS, FIGURES, DONE].concat();
    for at in 0..=text.len() {
        let (start, rest) = text.as_bytes().split_at(at);
        verify_that!(metered(true, &[start, rest]), eq((true, usage(11, 7))))?;
    }
    let bytes: Vec<_> = text.as_bytes().chunks(1).collect();
    verify_that!(metered(true, &bytes), eq((true, usage(11, 7))))
}

#[gtest]
fn without_figures_the_chunks_are_counted() -> Result<()> {
    verify_that!(metered(true, &[CHUNKS.as_bytes(), DONE.as_bytes()]), eq((true, usage(0, 2))))
}

#[gtest]
fn a_stream_without_its_last_event_is_not_done() -> Result<()> {
    let cut = [CHUNKS, FIGURES, "data: [DONE"].concat();
    verify_that!(metered(true, &[cut.as_bytes()]), eq((false, usage(11, 7))))
}

#[gtest]
fn one_document_is_read_at_its_end() -> Result<()> {
    let text = br#"{"choices":[{}],"usage":{"prompt_tokens":5,"completion_tokens":6}}"#;
    let (start, rest) = text.split_at(20);
    verify_that!(metered(false, &[start, rest]), eq((true, usage(5, 6))))?;
    verify_that!(metered(false, &[b"not json"]), eq((true, usage(0, 0))))
}

#[gtest]
fn one_document_of_more_than_a_megabyte_is_billed() -> Result<()> {
    let body = "x".repeat(2 * 1024 * 1024);
    let figures = r#""usage":{"prompt_tokens":5,"completion_tokens":6}"#;
    let text = format!(r#"{{"choices":[{{"text":"{body}"}}],{figures}}}"#);
    let parts: Vec<_> = text.as_bytes().chunks(64 * 1024).collect();
    verify_that!(metered(false, &parts), eq((true, usage(5, 6))))
}
