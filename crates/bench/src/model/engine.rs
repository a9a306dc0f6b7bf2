//! A backend server: continuous batching, one prefill at a time, a bounded prefix cache.

use std::collections;
use std::time::Duration;

use crate::deployment;

/// Time of a decoding step with an empty batch, in seconds.
const STEP_BASE: f64 = 0.014;

/// Added to a step by each request in the batch, in seconds.
const STEP_REQUEST: f64 = 0.000_4;

/// Added to a step while a prompt is read, in seconds.
const STEP_PREFILL: f64 = 0.005;

/// Prompt tokens read each second.
const PREFILL_RATE: f64 = 10_000.0;

/// Share of a prompt that need not be read if its prefix is cached.
const CACHED_SHARE: f64 = 0.75;

/// Prefixes that an engine's cache holds.
const CACHE_PREFIXES: usize = 24;

/// Step of a plain service's clock, in seconds.
const PLAIN_STEP: f64 = 0.001;

/// Tokens that are as good as none left.
const EPSILON: f64 = 1e-6;

/// A prompt that is read, or waits to be.
#[derive(Clone, Copy, Debug)]
struct Prefill {
    id: usize,
    /// Seconds left at full speed.
    left: f64,
    output: f64,
}

/// A request that generates.
#[derive(Clone, Copy, Debug)]
struct Decode {
    id: usize,
    /// Value of the engine's token clock at which it ends.
    end: f64,
}

/// What happened in an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// The first token of the request came.
    First(usize),
    /// The answer of the request is whole.
    Done(usize),
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Whether it runs.
    pub up: bool,
    /// How much slower it is than it should be.
    pub slow: f64,
    model: bool,
    at: Duration,
    /// Tokens that a request running all the time has generated.
    clock: f64,
    prefill: collections::VecDeque<Prefill>,
    decode: Vec<Decode>,
    cache: collections::VecDeque<u64>,
}

impl Engine {
    pub(super) fn new(pool: &deployment::Pool) -> Self {
        Self {
            up: true,
            slow: 1.0,
            model: pool.model,
            at: Duration::ZERO,
            clock: 0.0,
            prefill: collections::VecDeque::new(),
            decode: Vec::new(),
            cache: collections::VecDeque::new(),
        }
    }

    /// Starts a request; returns whether its prefix was cached.
    pub(super) fn start(&mut self, id: usize, prompt: f64, output: f64, prefix: u64) -> bool {
        if !self.model {
            self.decode.push(Decode { id, end: self.clock + output });
            return false;
        }
        let hit = self.touch(prefix);
        let read = if hit { prompt * (1.0 - CACHED_SHARE) } else { prompt };
        self.prefill.push_back(Prefill { id, left: read / PREFILL_RATE, output });
        hit
    }

    /// Moves to `now` and tells what happened on the way; call it at every wake.
    pub(super) fn advance(&mut self, now: Duration) -> Vec<Event> {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = now;
        if !self.up {
            return Vec::new();
        }
        self.clock += passed / self.step();
        if let Some(head) = self.prefill.front_mut() {
            head.left -= passed / self.slow;
        }
        let mut events = Vec::new();
        while self.prefill.front().is_some_and(|head| head.left <= EPSILON) {
            let Some(head) = self.prefill.pop_front() else { break };
            events.push(Event::First(head.id));
            self.decode.push(Decode { id: head.id, end: self.clock + head.output - 1.0 });
        }
        let clock = self.clock;
        let ended = self.decode.extract_if(.., |run| run.end <= clock + EPSILON);
        events.extend(ended.map(|run| Event::Done(run.id)));
        events
    }

    /// When something happens next if nothing is started or stopped.
    pub(super) fn wake(&self) -> Option<Duration> {
        if !self.up {
            return None;
        }
        let prefill = self.prefill.front().map(|head| head.left * self.slow);
        let ends = self.decode.iter().map(|run| run.end).min_by(f64::total_cmp);
        let decode = ends.map(|end| (end - self.clock) * self.step());
        let next = prefill.into_iter().chain(decode).min_by(f64::total_cmp)?;
        Some(self.at + Duration::from_secs_f64(next.max(0.0)) + Duration::from_nanos(100))
    }

    /// Tokens that the request still has to generate, if it generates.
    pub(super) fn left(&self, id: usize) -> Option<f64> {
        let run = self.decode.iter().find(|run| run.id == id)?;
        Some((run.end - self.clock).max(0.0))
    }

    /// Stops a request.
    pub(super) fn cancel(&mut self, id: usize) {
        self.prefill.retain(|head| head.id != id);
        self.decode.retain(|run| run.id != id);
    }

    /// Loses all work and the cache.
    pub(super) fn crash(&mut self) {
        self.up = false;
        self.prefill.clear();
        self.decode.clear();
        self.cache.clear();
    }

    fn touch(&mut self, prefix: u64) -> bool {
        let known = self.cache.iter().position(|cached| *cached == prefix);
        if let Some(i) = known {
            self.cache.remove(i);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE_PREFIXES {
            self.cache.pop_front();
        }
        known.is_some()
    }

    fn step(&self) -> f64 {
        if !self.model {
            return PLAIN_STEP * self.slow;
        }
        step(self.decode.len(), !self.prefill.is_empty()) * self.slow
    }
}

fn step(batch: usize, prefill: bool) -> f64 {
    STEP_BASE + STEP_REQUEST * batch as f64 + if prefill { STEP_PREFILL } else { 0.0 }
}

/// Seconds that a request holds a slot of a fully used engine with its prefix cached.
pub(super) fn service_time(pool: &deployment::Pool, prompt: f64, output: f64) -> f64 {
    if !pool.model {
        return output * PLAIN_STEP;
    }
    let slots = pool.slots as usize;
    prompt * (1.0 - CACHED_SHARE) / PREFILL_RATE + output * step(slots, false)
}
