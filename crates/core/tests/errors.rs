//! The table in `docs/ERRORS.md` lists the result codes of the code.

use std::collections;

use azuregap_core::code;
use googletest::prelude::*;

const TABLE: &str = include_str!("../../../docs/ERRORS.md");

/// Returns the rows of the table whose first cell is a number, without the description column.
fn rows() -> Vec<String> {
    let cells = |line: &str| -> Vec<String> {
        line.trim_matches('|').split(" | ").map(|cell| cell.trim().to_owned()).collect()
    };
    let rows = TABLE.lines().filter(|line| line.starts_with('|')).map(cells);
    rows.filter(|cells| cells[0].parse::<u16>().is_ok())
        .map(|cells| [&cells[0], &cells[1], &cells[2], &cells[4]].map(String::as_str).join(" "))
        .collect()
}

#[gtest]
fn documented_codes_match_the_code() {
    let codes = code::Code::ALL
        .iter()
        .map(|code| format!("{} `{code:?}` {} {}", code.number(), code.status(), code.advice()));
    expect_that!(rows(), container_eq(codes.collect::<Vec<_>>()));
}

#[gtest]
fn codes_have_unique_numbers_and_are_found_by_number() {
    let numbers: collections::BTreeSet<_> = code::Code::ALL.iter().map(|c| c.number()).collect();
    expect_that!(numbers, len(eq(code::Code::ALL.len())));
    for code in code::Code::ALL {
        expect_that!(code::Code::from_number(code.number()), some(eq(*code)));
    }
    expect_that!(code::Code::from_number(0), none());
}
