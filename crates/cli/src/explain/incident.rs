//! What went wrong in a period, over all processes.

use std::collections;

use serde::Serialize;

use super::line;

/// A count of lines that say the same.
#[derive(Debug)]
#[derive(Serialize)]
struct Count {
    what: String,
    count: usize,
    first: String,
    last: String,
    processes: usize,
}

/// A summary of the logs of several processes.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Incident {
    from: String,
    to: String,
    processes: usize,
    /// Starts, stops, dependencies, versions and changes of backend servers.
    events: Vec<Count>,
    /// Requests that were not served, by cause.
    failures: Vec<Count>,
    served: usize,
    left_out: u64,
}

impl Incident {
    /// Sums up lines that are in the order of time.
    pub(crate) fn of(lines: &[line::Line]) -> Self {
        let mut result = Self {
            from: lines.first().map(|line| line.entry.time.clone()).unwrap_or_default(),
            to: lines.last().map(|line| line.entry.time.clone()).unwrap_or_default(),
            processes: processes(lines.iter()),
            events: Vec::new(),
            failures: Vec::new(),
            served: 0,
            left_out: lines.iter().filter_map(|line| line.entry.number("left_out")).sum(),
        };
        let (mut events, mut failures) = (Groups::new(), Groups::new());
        for line in lines {
            match kind(&line.entry) {
                Kind::Served => result.served += 1,
                Kind::Failure(what) => failures.entry(what).or_default().push(line),
                Kind::Event(what) => events.entry(what).or_default().push(line),
                Kind::Detail => {}
            }
        }
        result.events = counts(events);
        result.failures = counts(failures);
        result.failures.sort_by_key(|count| std::cmp::Reverse(count.count));
        result.events.sort_by(|left, right| left.first.cmp(&right.first));
        result
    }

    /// Prints the summary for people.
    pub(crate) fn print(&self) {
        println!("{} to {}, {} processes", self.from, self.to, self.processes);
        println!("events, in the order of the first:");
        self.events.iter().for_each(Count::print);
        println!("requests not served, by cause ({} lines on served ones):", self.served);
        self.failures.iter().for_each(Count::print);
        if self.left_out > 0 {
            println!("{} lines were left out by the gateways", self.left_out);
        }
    }
}

impl Count {
    fn print(&self) {
        let Self { what, count, first, last, processes } = self;
        println!("  {count:>6} x {what}  ({first} to {last}, {processes} processes)");
    }
}

type Groups<'a> = collections::BTreeMap<String, Vec<&'a line::Line>>;

enum Kind {
    Served,
    Failure(String),
    Event(String),
    /// Said again by another line.
    Detail,
}

fn kind(entry: &line::Entry) -> Kind {
    let named = |name: &str| format!("{}: {}", entry.message, entry.text(name));
    match entry.message.as_str() {
        "request ended" => {
            let status = entry.number("status").unwrap_or_default();
            let (outcome, reason) = (entry.text("outcome"), entry.text("reason"));
            if status < 400 && outcome == "complete" {
                return Kind::Served;
            }
            Kind::Failure(format!("{status} {outcome} {reason}").trim_end().to_owned())
        }
        "request denied" => Kind::Failure(entry.text("reason").to_owned()),
        "an attempt failed" | "request lost at a backend server" => Kind::Detail,
        "backend server" => Kind::Event(named("change")),
        "the store is lost" | "the store answers again" => Kind::Event(named("table")),
        "configuration in force" => {
            let version = entry.number("version").unwrap_or_default();
            Kind::Event(format!("{} (version {version})", entry.message))
        }
        _ => Kind::Event(entry.message.clone()),
    }
}

fn counts(groups: Groups<'_>) -> Vec<Count> {
    let count = |(what, lines): (String, Vec<&line::Line>)| Count {
        what,
        count: lines.len(),
        first: lines.first().map(|line| line.entry.time.clone()).unwrap_or_default(),
        last: lines.last().map(|line| line.entry.time.clone()).unwrap_or_default(),
        processes: processes(lines.into_iter()),
    };
    groups.into_iter().map(count).collect()
}

fn processes<'a>(lines: impl Iterator<Item = &'a line::Line>) -> usize {
    lines.map(|line| line.process.as_str()).collect::<collections::BTreeSet<_>>().len()
}
