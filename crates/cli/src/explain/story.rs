//! What happened to one request.

use serde::Serialize;

use super::cause;
use super::line;

/// One event of the story.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Event {
    time: String,
    process: String,
    message: String,
    details: String,
}

/// Everything that the logs say of one request, and its cause.
#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct Story {
    request: String,
    events: Vec<Event>,
    cause: String,
    evidence: Vec<String>,
}

impl Story {
    /// Tells the story of a request from all lines, in the order of time.
    pub(crate) fn of(request: &str, lines: &[line::Line]) -> Self {
        let own: Vec<_> =
            lines.iter().filter(|line| line.entry.text("request") == request).collect();
        let cause::Cause { cause, evidence } = cause::find(&own, lines);
        let events = own.iter().map(|line| Event::from(*line)).collect();
        Self { request: request.to_owned(), events, cause, evidence }
    }

    /// Whether any line names the request.
    pub(crate) fn is_known(&self) -> bool {
        !self.events.is_empty()
    }

    /// Prints the story for people.
    pub(crate) fn print(&self) {
        println!("request {}", self.request);
        for event in &self.events {
            println!("  {} {}: {}  {}", event.time, event.process, event.message, event.details);
        }
        println!("cause: {}", self.cause);
        for evidence in &self.evidence {
            println!("  {evidence}");
        }
    }
}

impl From<&line::Line> for Event {
    fn from(line: &line::Line) -> Self {
        let told = |(name, _): &(&String, &serde_json::Value)| {
            !matches!(name.as_str(), "request" | "level" | "target")
        };
        let pairs = line.entry.fields.iter().filter(told);
        let pairs: Vec<_> = pairs.map(|(name, value)| format!("{name}={value}")).collect();
        Self {
            time: line.entry.time.clone(),
            process: line.process.clone(),
            message: line.entry.message.clone(),
            details: pairs.join(" "),
        }
    }
}
