//! Explains from the gateways' logs.

use std::path;

use crate::error;
use crate::exit;
use crate::explain;

/// Tells what happened to a request; without one, what went wrong over all.
///
/// # Errors
///
/// [`error::CliError::File`] if a log can't be read.
pub(super) fn explain(
    request: Option<&str>,
    files: &[path::PathBuf],
    json: bool,
) -> error::CliResult<exit::Exit> {
    let lines = read(files)?;
    let Some(request) = request else {
        let incident = explain::Incident::of(&lines);
        show(&incident, json, explain::Incident::print);
        return Ok(exit::Exit::Done);
    };
    let story = explain::Story::of(request, &lines);
    show(&story, json, explain::Story::print);
    Ok(if story.is_known() { exit::Exit::Done } else { exit::Exit::Faulty })
}

/// Tells where requests were lost or late.
///
/// # Errors
///
/// [`error::CliError::File`] if a log can't be read.
pub(super) fn report(files: &[path::PathBuf], json: bool) -> error::CliResult<exit::Exit> {
    let report = explain::Report::of(&read(files)?);
    show(&report, json, explain::Report::print);
    Ok(exit::Exit::Done)
}

fn read(files: &[path::PathBuf]) -> error::CliResult<Vec<explain::Line>> {
    let read = explain::read(files).map_err(|(file, reason)| {
        error::CliError::File(file.display().to_string(), reason.to_string())
    })?;
    if read.unreadable > 0 {
        eprintln!("azuregap: {} lines are no log lines of a gateway", read.unreadable);
    }
    Ok(read.lines)
}

fn show<T: serde::Serialize>(report: &T, json: bool, print: impl Fn(&T)) {
    if !json {
        return print(report);
    }
    match serde_json::to_string_pretty(report) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("azuregap: the report can't be written as JSON: {error}"),
    }
}
