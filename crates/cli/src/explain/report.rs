//! Where requests were lost or late: by cause and service, and in which seconds.

use std::collections;

use serde::Serialize;

use super::line;
use crate::render;

/// Prompt tokens that a backend server had to read from which on a late answer is put down to them.
const LONG_READ: u64 = 1_000;

/// Seconds that are shown, those with the largest share of losses first.
const WORST_SECONDS: usize = 5;

/// Requests of a second from which on it is compared with others.
const MIN_REQUESTS: usize = 10;

/// Requests of one service that were lost or late for one cause.
#[derive(Debug)]
#[derive(Serialize)]
struct Loss {
    cause: String,
    service: String,
    requests: usize,
    /// Share of all requests of the service.
    share: f64,
    gateways: usize,
    backends: usize,
    /// The second with most of them, and how many it had.
    worst_second: String,
    worst_count: usize,
}

/// Requests that ended in one second.
#[derive(Debug)]
#[derive(Serialize)]
struct Second {
    time: String,
    requests: usize,
    lost: usize,
    /// The cause of most of the losses.
    cause: String,
}

/// A table of losses from the logs of several processes.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Report {
    requests: usize,
    on_time: usize,
    losses: Vec<Loss>,
    worst_seconds: Vec<Second>,
    left_out: u64,
}

/// What became of one request.
struct Ending<'a> {
    line: &'a line::Line,
    /// `None` if it was served on time.
    cause: Option<String>,
}

impl Report {
    /// Sums up the ends of requests.
    pub(crate) fn of(lines: &[line::Line]) -> Self {
        let endings: Vec<_> = lines.iter().filter_map(ending).collect();
        Self {
            requests: endings.len(),
            on_time: endings.iter().filter(|ending| ending.cause.is_none()).count(),
            losses: losses(&endings),
            worst_seconds: worst_seconds(&endings),
            left_out: lines.iter().filter_map(|line| line.entry.number("left_out")).sum(),
        }
    }

    /// Prints the tables for people.
    pub(crate) fn print(&self) {
        println!("{} requests ended, {} on time", self.requests, self.on_time);
        let mut table = render::table();
        table.set_header([
            "requests",
            "share",
            "service",
            "cause",
            "gateways",
            "backends",
            "worst second",
        ]);
        for loss in &self.losses {
            table.add_row([
                loss.requests.to_string(),
                format!("{:.3}", loss.share),
                loss.service.clone(),
                loss.cause.clone(),
                loss.gateways.to_string(),
                loss.backends.to_string(),
                format!("{} ({})", loss.worst_second, loss.worst_count),
            ]);
        }
        let mut text = String::new();
        render::push_table(&mut text, &table);
        print!("{text}");
        println!("seconds with the largest share of losses:");
        for Second { time, requests, lost, cause } in &self.worst_seconds {
            println!("  {time}  {lost} of {requests}, most of them: {cause}");
        }
        if self.left_out > 0 {
            println!("{} lines were left out by the gateways", self.left_out);
        }
    }
}

fn ending(line: &line::Line) -> Option<Ending<'_>> {
    let entry = &line.entry;
    let cause = match entry.message.as_str() {
        "request ended" => cause(entry),
        "request denied" => Some(format!("denied: {}", entry.text("reason"))),
        _ => return None,
    };
    Some(Ending { line, cause })
}

/// The cause for which a request was lost or late.
fn cause(entry: &line::Entry) -> Option<String> {
    let number = |name| entry.number(name).unwrap_or_default();
    let (status, reason) = (number("status"), entry.text("reason"));
    let first = entry.number("first_ms");
    let cause = match (entry.text("outcome"), first) {
        ("complete", _) if status >= 400 => format!("error of the backend server: {status}"),
        ("complete", first) => return late(entry, first),
        ("out of time", None) => "deadline before the first event".to_owned(),
        ("out of time", Some(_)) => "deadline in the stream".to_owned(),
        ("caller left", None) => "caller left before the answer".to_owned(),
        ("caller left", Some(_)) => "caller left in the answer".to_owned(),
        ("cut", _) => format!("stream lost: {reason}"),
        _ if number("runs") == 0 => format!("not run: {reason}"),
        _ => format!("answer lost: {reason}"),
    };
    Some(cause)
}

/// Why a complete answer was late, if it was; logs of earlier versions don't tell the targets.
fn late(entry: &line::Entry, first: Option<u64>) -> Option<String> {
    let exceeds = |value: Option<u64>, limit: &str| {
        value.zip(entry.number(limit)).is_some_and(|(value, limit)| value > limit)
    };
    if exceeds(first, "target_ms") {
        let reads = entry.number("uncached").unwrap_or_default() >= LONG_READ;
        let cause = if reads { "long prompt to read" } else { "waited at the backend server" };
        return Some(format!("late: {cause}"));
    }
    let is_slow = exceeds(entry.number("pause_ms"), "max_pause_ms");
    is_slow.then(|| "late: pause in the stream".to_owned())
}

fn losses(endings: &[Ending<'_>]) -> Vec<Loss> {
    let mut totals = collections::BTreeMap::<&str, usize>::new();
    let mut groups = collections::BTreeMap::<(&str, &str), Vec<&line::Line>>::new();
    for Ending { line, cause } in endings {
        let service = line.entry.text("service");
        *totals.entry(service).or_default() += 1;
        if let Some(cause) = cause {
            groups.entry((cause, service)).or_default().push(line);
        }
    }
    let distinct = |lines: &[&line::Line], name: fn(&line::Line) -> &str| {
        let names = lines.iter().map(|line| name(line)).filter(|name| !name.is_empty());
        names.collect::<collections::BTreeSet<_>>().len()
    };
    let loss = |((cause, service), lines): ((&str, &str), Vec<&line::Line>)| {
        let (worst_second, worst_count) = most_common(lines.iter().map(|line| line.entry.second()));
        Loss {
            cause: cause.to_owned(),
            service: service.to_owned(),
            requests: lines.len(),
            share: lines.len() as f64 / totals[service] as f64,
            gateways: distinct(&lines, |line| &line.process),
            backends: distinct(&lines, |line| line.entry.text("backend")),
            worst_second,
            worst_count,
        }
    };
    let mut losses: Vec<_> = groups.into_iter().map(loss).collect();
    losses.sort_by_key(|loss| std::cmp::Reverse(loss.requests));
    losses
}

fn worst_seconds(endings: &[Ending<'_>]) -> Vec<Second> {
    let mut seconds = collections::BTreeMap::<&str, Vec<&Ending<'_>>>::new();
    for ending in endings {
        seconds.entry(ending.line.entry.second()).or_default().push(ending);
    }
    let second = |(time, endings): (&str, Vec<&Ending<'_>>)| {
        let causes = endings.iter().filter_map(|ending| ending.cause.as_deref());
        let (cause, _) = most_common(causes.clone());
        Second { time: time.to_owned(), requests: endings.len(), lost: causes.count(), cause }
    };
    let seconds = seconds.into_iter().map(second);
    let mut worst: Vec<_> =
        seconds.filter(|second| second.lost > 0 && second.requests >= MIN_REQUESTS).collect();
    let share = |second: &Second| second.lost as f64 / second.requests as f64;
    worst.sort_by(|left, right| share(right).total_cmp(&share(left)));
    worst.truncate(WORST_SECONDS);
    worst
}

/// The most frequent text, the first in order if there are several, and how often it occurs.
fn most_common<'a>(texts: impl Iterator<Item = &'a str>) -> (String, usize) {
    let mut counts = collections::BTreeMap::<&str, usize>::new();
    for text in texts {
        *counts.entry(text).or_default() += 1;
    }
    let most = counts.into_iter().rev().max_by_key(|(_, count)| *count).unwrap_or_default();
    (most.0.to_owned(), most.1)
}
