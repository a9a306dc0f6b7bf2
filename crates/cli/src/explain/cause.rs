//! Finds the cause of a request's end in the lines around it.

use std::collections;

use super::line;

/// Message of a request that waited for a place at a backend server with a limit, or got none.
const LIMITED: &str = "request needed a place at a backend server with a limit";

/// Message of the end of a limit.
const LIMIT_ENDED: &str = "backend server names no limit any more";

/// Messages on withdrawn availability zones, the last one of their end.
const ZONE_CHANGES: [&str; 2] = ["availability zone withdrawn", "availability zone taken back"];

/// Messages on cold backend servers, the last one of their end.
const COLD_CHANGES: [&str; 2] = ["backend server is cold", "backend server is warm"];

/// Messages of changes of limits.
const LIMIT_CHANGES: [&str; 3] =
    ["backend server names a limit", "backend server changes its limit", LIMIT_ENDED];

/// Messages on a request that crashes backend servers, or its prompt.
const CRASHES: [&str; 3] =
    ["request lost at a backend server", "suspect of crashes", "suspect of crashes was answered"];

/// Lines on crashes that are shown at most.
const MAX_CRASHES: usize = 12;

/// A cause, and the lines that bear it out.
#[derive(Debug)]
pub(crate) struct Cause {
    pub(crate) cause: String,
    pub(crate) evidence: Vec<String>,
}

/// Lines of the processes, seen from the last line on the request.
struct Around<'a> {
    last: &'a line::Line,
    lines: &'a [line::Line],
}

/// The cause of a request's end, from its own lines and those of all processes.
pub(crate) fn find(own: &[&line::Line], lines: &[line::Line]) -> Cause {
    let Some(last) = own.last() else { return unknown(lines) };
    let around = Around { last, lines };
    let entry = &last.entry;
    let status = entry.number("status").unwrap_or_default();
    let runs = entry.number("runs").unwrap_or_default();
    let (cause, evidence) = match (entry.message.as_str(), entry.text("outcome")) {
        ("request denied", _) => around.denied(),
        (_, "complete") if status < 400 => (served(entry), Vec::new()),
        (_, "complete") => {
            let cause = format!(
                "the backend server {} answered with status {status}",
                entry.text("backend")
            );
            (cause, around.others_at(entry.text("backend")))
        }
        (_, "caller left") => ("the caller closed its connection first".to_owned(), Vec::new()),
        (_, "out of time") => (
            "the time that the caller or the route allows was over".to_owned(),
            around.others_at(entry.text("backend")),
        ),
        (_, "cut") => {
            around.lost(entry.text("backend"), "the stream of the backend server ended early")
        }
        (_, "given up") if runs == 0 => around.not_run(own),
        (_, "given up") => {
            let tried = own.iter().rev().find(|line| !line.entry.text("backend").is_empty());
            let backend = tried.map_or("", |line| line.entry.text("backend"));
            around.lost(backend, "it may have run, its answer was lost, and it was not sent again")
        }
        _ => ("the request had not ended when the logs end".to_owned(), around.ends()),
    };
    Cause { cause, evidence }
}

fn served(entry: &line::Entry) -> String {
    let first = entry.number("first_ms").unwrap_or_default();
    let pause = entry.number("pause_ms").unwrap_or_default();
    format!(
        "none: it was served by {}; first byte after {first} ms, longest pause {pause} ms",
        entry.text("backend")
    )
}

/// No line names the request.
fn unknown(lines: &[line::Line]) -> Cause {
    let starts = lines.iter().filter(|line| line.entry.message == "start");
    let evidence = starts
        .chain(lines.iter().filter(|line| line.entry.number("left_out").is_some()))
        .map(told)
        .collect();
    let cause = "no line names this request: it reached no gateway, its line was left out, or the \
        process died before it ended";
    Cause { cause: cause.to_owned(), evidence }
}

fn told(line: &line::Line) -> String {
    let details = ["node", "incarnation", "left_out", "table", "reason", "change", "version"];
    told_with(line, &details)
}

/// A line with those of some fields that it has.
fn told_with(line: &line::Line, details: &[&str]) -> String {
    let entry = &line.entry;
    let details: Vec<_> = details
        .iter()
        .filter_map(|name| Some(format!("{name}={}", entry.fields.get(*name)?)))
        .collect();
    format!("{} {}: {} {}", entry.time, line.process, entry.message, details.join(" "))
}

impl Around<'_> {
    fn before(&self) -> impl Iterator<Item = &line::Line> {
        self.lines.iter().filter(|line| line.entry.time <= self.last.entry.time)
    }

    fn after(&self) -> impl Iterator<Item = &line::Line> {
        self.lines.iter().filter(|line| line.entry.time > self.last.entry.time)
    }

    fn same_process(&self, line: &line::Line) -> bool {
        line.process == self.last.process
    }

    fn denied(&self) -> (String, Vec<String>) {
        let entry = &self.last.entry;
        let version = entry.number("configuration").unwrap_or_default();
        let age = entry.number("configuration_age_ms").unwrap_or_default();
        let reason = entry.text("reason");
        let cause =
            format!("{reason} (configuration {version}, confirmed {age} ms before, decided this)");
        let mut evidence: Vec<_> = self.store_lost("Configuration").into_iter().collect();
        let in_force = |line: &&line::Line| line.entry.message == "configuration in force";
        let newer = self
            .lines
            .iter()
            .filter(in_force)
            .find(|line| line.entry.number("version").is_some_and(|newer| newer > version));
        evidence.extend(newer.map(|line| format!("newer: {}", told(line))));
        let own = self.before().filter(in_force).filter(|line| self.same_process(line)).last();
        evidence.extend(own.map(|line| format!("in force here: {}", told(line))));
        (cause, evidence)
    }

    /// The line on the loss of a table, if the process had not regained it.
    fn store_lost(&self, table: &str) -> Option<String> {
        let state = self
            .before()
            .filter(|line| self.same_process(line) && line.entry.text("table") == table)
            .filter(|line| line.entry.message.starts_with("the store "))
            .last()?;
        (state.entry.message == "the store is lost").then(|| told(state))
    }

    fn not_run(&self, own: &[&line::Line]) -> (String, Vec<String>) {
        let cause = format!(
            "it ran nowhere, and the caller was told when to come back: {}",
            self.last.entry.text("reason")
        );
        let tried = own.iter().map(|line| line.entry.text("backend")).filter(|id| !id.is_empty());
        let mut evidence: Vec<_> = tried.filter_map(|backend| self.removed(backend)).collect();
        evidence.extend(self.store_lost("Backends"));
        if own.iter().any(|line| line.entry.message == LIMITED) {
            evidence.extend(self.limits_in_force());
        }
        let reason = self.last.entry.text("reason");
        if reason.starts_with("zone withdrawn") {
            evidence.extend(self.in_force(&ZONE_CHANGES, "zone", &["zone", "version"]));
        }
        if reason.starts_with("cold") {
            evidence.extend(self.in_force(
                &COLD_CHANGES,
                "backend",
                &["backend", "cause", "left_ms"],
            ));
        }
        evidence.extend(self.crashes());
        (cause, evidence)
    }

    /// The lines of all processes on the crashes for which the request was rejected.
    fn crashes(&self) -> Vec<String> {
        let words: Vec<_> = self.last.entry.text("reason").split(' ').collect();
        let [_, suspect, "crashed", ..] = words[..] else { return Vec::new() };
        let is_about = |line: &&line::Line| {
            CRASHES.contains(&line.entry.message.as_str())
                && [line.entry.text("suspect"), line.entry.text("digest")].contains(&suspect)
        };
        let details = ["backend", "ran_ms", "has_ended", "path", "team", "crashes", "source"];
        let lines = self.before().filter(is_about).take(MAX_CRASHES);
        lines.map(|line| told_with(line, &details)).collect()
    }

    /// The lines on the limits of backend servers that this process had heard of and that hadn't
    /// ended.
    fn limits_in_force(&self) -> Vec<String> {
        self.in_force(&LIMIT_CHANGES, "backend", &["backend", "limit", "source"])
    }

    /// The newest line of this process on each subject, the field `by`, unless it is the last of the
    /// messages, which ends what the others tell.
    fn in_force(&self, messages: &[&str], by: &str, details: &[&str]) -> Vec<String> {
        let is_told = |line: &&line::Line| messages.contains(&line.entry.message.as_str());
        let changes = self.before().filter(|line| self.same_process(line)).filter(is_told);
        let newest: collections::BTreeMap<_, _> =
            changes.map(|line| (line.entry.text(by), line)).collect();
        let end = messages.last().copied().unwrap_or_default();
        let in_force = newest.values().filter(|line| line.entry.message != end);
        in_force.map(|line| told_with(line, details)).collect()
    }

    /// The line on the removal of a backend server, before or after.
    fn removed(&self, backend: &str) -> Option<String> {
        let removed = |line: &&line::Line| {
            line.entry.message == "backend server"
                && line.entry.text("backend") == backend
                && line.entry.text("change") == "Removed"
        };
        let found = self.after().find(removed).or_else(|| self.before().filter(removed).last());
        Some(format!("{backend} left the list: {}", told(found?)))
    }

    fn lost(&self, backend: &str, what: &str) -> (String, Vec<String>) {
        let reason = self.last.entry.text("reason");
        let mut evidence = self.others_at(backend);
        evidence.extend(self.removed(backend));
        (format!("{what}: {reason}"), evidence)
    }

    /// How other requests fared at a backend server in the same second.
    fn others_at(&self, backend: &str) -> Vec<String> {
        if backend.is_empty() {
            return Vec::new();
        }
        let second = self.last.entry.second();
        let ended = |line: &&line::Line| {
            line.entry.second() == second
                && line.entry.text("backend") == backend
                && line.entry.text("request") != self.last.entry.text("request")
        };
        let all: Vec<_> = self.lines.iter().filter(ended).collect();
        let served = all.iter().filter(|line| line.entry.text("outcome") == "complete").count();
        let failed = all.len() - served;
        vec![format!("others at {backend} in that second: {served} served, {failed} failed")]
    }

    /// Starts of the process after the last line on the request.
    fn ends(&self) -> Vec<String> {
        let starts = self.after().filter(|line| {
            self.same_process(line) && matches!(line.entry.message.as_str(), "start" | "stopped")
        });
        starts.map(told).collect()
    }
}
