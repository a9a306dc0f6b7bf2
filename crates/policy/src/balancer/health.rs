//! Health of a replica as one entry sees it: failures, and slowness against its peers.

use std::time::Duration;

use tokio::time;

/// Weight of the newest observation.
const SMOOTHING: f32 = 0.25;

/// Observations before a replica is compared with its peers.
const LEAST_SAMPLES: u32 = 3;

/// A replica is a straggler from this multiple of the median time for each token.
const SLOW_FACTOR: f32 = 3.0;

/// A straggler is well again under this multiple.
const WELL_FACTOR: f32 = 1.5;

/// A replica is a straggler from this multiple of the median time to the first byte.
const FIRST_FACTOR: f32 = 6.0;

/// A first byte within this time, in seconds, is never slow.
const FIRST_LEAST: f32 = 1.0;

/// Interrupted answers in a row after which a replica is left out.
const BROKEN_LIMIT: u32 = 2;

/// Time to the first probe after a failure.
const FAILED_PROBE: Duration = Duration::from_secs(1);

/// Time to the first probe of a straggler.
const SLOW_PROBE: Duration = Duration::from_secs(10);

/// Longest time between two probes.
const MOST_PROBE: Duration = Duration::from_secs(60);

/// Smoothed observations of a replica, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mean {
    pub(super) value: f32,
    samples: u32,
}

impl Mean {
    fn observe(&mut self, value: f32) {
        let known = self.samples > 0;
        self.value = if known { self.value + SMOOTHING * (value - self.value) } else { value };
        self.samples = self.samples.saturating_add(1);
    }

    pub(super) const fn settled(&self) -> Option<f32> {
        if self.samples >= LEAST_SAMPLES { Some(self.value) } else { None }
    }
}

/// Medians over the replicas that an entry knows, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Peers {
    pub(super) pace: Option<f32>,
    pub(super) first: Option<f32>,
}

/// When a replica that is left out is tried next.
#[derive(Clone, Copy, Debug)]
pub(super) struct LeftOut {
    pub(super) probe: time::Instant,
    interval: Duration,
    slow: bool,
}

/// Health of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    /// Time for each token.
    pub(super) pace: Mean,
    /// Time to the first byte.
    pub(super) first: Mean,
    broken: u32,
    pub(super) left_out: Option<LeftOut>,
}

impl Health {
    pub(super) fn first_byte(&mut self, after: Duration) {
        self.first.observe(after.as_secs_f32());
    }

    pub(super) fn progress(&mut self, tokens: u32, over: Duration) {
        self.pace.observe(over.as_secs_f32() / tokens.max(1) as f32);
    }

    /// The replica served a request: it is well, unless it is slow.
    pub(super) fn served(&mut self) {
        self.broken = 0;
        self.left_out = self.left_out.filter(|out| out.slow);
    }

    pub(super) fn broke(&mut self, now: time::Instant) {
        self.broken += 1;
        if self.broken >= BROKEN_LIMIT {
            self.failed(now);
        }
    }

    pub(super) fn failed(&mut self, now: time::Instant) {
        let interval = match self.left_out {
            Some(out) if !out.slow && out.probe <= now => (out.interval * 2).min(MOST_PROBE),
            Some(out) if !out.slow => return,
            _ => FAILED_PROBE,
        };
        self.left_out = Some(LeftOut { probe: now + interval, interval, slow: false });
    }

    /// A probe was sent; the next one waits longer.
    pub(super) fn probed(&mut self, now: time::Instant) {
        if let Some(out) = &mut self.left_out {
            out.interval = (out.interval * 2).min(MOST_PROBE);
            out.probe = now + out.interval;
        }
    }

    /// How much slower than its peers, at least 1.
    pub(super) fn slowness(&self, peers: Peers) -> f32 {
        let pace = ratio(self.pace.settled(), peers.pace) / SLOW_FACTOR;
        let first = self.first.settled().filter(|first| *first > FIRST_LEAST);
        let first = ratio(first, peers.first) / FIRST_FACTOR;
        pace.max(first) * SLOW_FACTOR
    }

    /// Compares with the peers; `may_leave` tells whether another replica may be left out.
    pub(super) fn compare(&mut self, peers: Peers, may_leave: bool, now: time::Instant) {
        let slowness = self.slowness(peers);
        match self.left_out {
            Some(out) if out.slow && slowness < WELL_FACTOR => self.left_out = None,
            None if may_leave && slowness >= SLOW_FACTOR => {
                let (probe, interval) = (now + SLOW_PROBE, SLOW_PROBE);
                self.left_out = Some(LeftOut { probe, interval, slow: true });
            }
            _ => {}
        }
    }
}

fn ratio(own: Option<f32>, peers: Option<f32>) -> f32 {
    match (own, peers) {
        (Some(own), Some(peers)) if peers > 0.0 => own / peers,
        _ => 1.0,
    }
}
