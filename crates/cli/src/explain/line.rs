//! One line of a gateway's log.

use std::io;
use std::io::BufRead as _;
use std::path;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

/// A line with the process that wrote it.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    /// Who wrote it: what stands before the line, else the name of the file.
    pub(crate) process: String,
    /// What it says.
    pub(crate) entry: Entry,
}

/// What a line says.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
pub(crate) struct Entry {
    /// Time of day of the process, RFC 3339 in UTC.
    #[serde(rename = "timestamp")]
    pub(crate) time: String,
    /// The decision or event.
    pub(crate) message: String,
    /// What went into it.
    #[serde(flatten)]
    pub(crate) fields: Map<String, Value>,
}

impl Entry {
    /// A field as text; empty if it is missing.
    pub(crate) fn text(&self, name: &str) -> &str {
        self.fields.get(name).and_then(Value::as_str).unwrap_or_default()
    }

    /// A field as a number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.fields.get(name).and_then(Value::as_u64)
    }

    /// The time to the second.
    pub(crate) fn second(&self) -> &str {
        self.time.get(..19).unwrap_or(&self.time)
    }
}

/// Lines of several files in the order of time, and how many lines could not be read.
#[derive(Debug, Default)]
pub(crate) struct Lines {
    pub(crate) lines: Vec<Line>,
    pub(crate) unreadable: usize,
}

/// Reads the lines of log files.
///
/// # Errors
///
/// If a file can't be read.
pub(crate) fn read(files: &[path::PathBuf]) -> Result<Lines, (path::PathBuf, io::Error)> {
    let mut all = Lines::default();
    for file in files {
        read_file(file, &mut all).map_err(|error| (file.clone(), error))?;
    }
    all.lines.sort_by(|left, right| left.entry.time.cmp(&right.entry.time));
    Ok(all)
}

fn read_file(file: &path::Path, all: &mut Lines) -> io::Result<()> {
    let name = file.file_stem().map(|name| name.to_string_lossy().into_owned());
    let name = name.unwrap_or_default();
    for text in io::BufReader::new(std::fs::File::open(file)?).split(b'\n') {
        let text = text?;
        let text = String::from_utf8_lossy(&text);
        if text.trim().is_empty() {
            continue;
        }
        match parse(&name, &text) {
            Some(line) => all.lines.push(line),
            None => all.unreadable += 1,
        }
    }
    Ok(())
}

/// A collector of logs may have put the process's name before the line.
fn parse(file: &str, text: &str) -> Option<Line> {
    let (before, _) = text.split_once('{')?;
    let entry = serde_json::from_str(&text[before.len()..]).ok()?;
    let process = before.split_whitespace().last().unwrap_or(file).to_owned();
    Some(Line { process, entry })
}
