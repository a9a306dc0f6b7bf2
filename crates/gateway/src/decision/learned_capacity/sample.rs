//! What a gateway sees of a request.

use std::time::Duration;

/// What a time was taken of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Span {
    /// From the send to the first event of a stream.
    Start,
    /// Between two events of a stream, on average.
    Pause,
    /// From the send to the end of an answer that is no stream.
    Whole,
}

/// Where a request runs, and beside what.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Hash of the backend server's id.
    pub backend: u32,
    /// Start of its run, in milliseconds since 1970.
    pub started_ms: u64,
    /// Requests that it can run concurrently.
    pub slots: u32,
    /// Requests of all gateways that run or wait there with this one, as far as known at the send.
    pub running: u32,
    /// Prompt tokens that it reads before the first event of the request.
    pub tokens: u64,
    /// Hash of the route; requests of one route are compared.
    pub route: u64,
}

impl Place {
    /// The work on which a time depends: prompt tokens, or requests that share the steps of an engine.
    pub(super) fn work(&self, span: Span) -> f64 {
        match span {
            Span::Start => self.tokens as f64,
            Span::Pause => f64::from(self.running),
            Span::Whole => 0.0,
        }
    }

    /// Turns that a request takes, with those for which it waits for a slot. They are known rather than
    /// learned: requests wait mostly at slow servers, whose slowness would pass for that of waiting.
    pub(super) fn turns(&self, span: Span) -> f64 {
        let slots = self.slots.max(1);
        let waiting = f64::from(self.running.saturating_sub(slots)) / f64::from(slots);
        if span == Span::Whole { 1.0 + waiting } else { 1.0 }
    }

    /// The quarter of its slots that the request fills, from 0 to 3.
    pub(super) fn quarter(&self) -> usize {
        quarter(self.running, self.slots)
    }
}

/// The quarter of the slots that the newest of `running` requests fills, from 0 to 3.
pub(super) fn quarter(running: u32, slots: u32) -> usize {
    let filled = u64::from(running.saturating_sub(1)) * 4 / u64::from(slots.max(1));
    filled.min(3) as usize
}

/// A time that was observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Where the request ran.
    pub place: Place,
    /// What the time was taken of.
    pub span: Span,
    /// The time.
    pub took: Duration,
}
