//! Health of a replica as seen by one entry: failures, and latency compared with its peers.

use std::time::Duration;

use tokio::time;

/// Weight of the newest sample in the moving average.
const SMOOTHING: f32 = 0.25;

/// Samples needed before a replica is compared with its peers.
const MIN_SAMPLES: u32 = 3;

/// Multiple of the peers' median time per token from which a replica is ejected as slow.
const SLOW_FACTOR: f32 = 3.0;

/// Multiple of the median below which a slow replica has recovered.
const RECOVERY_FACTOR: f32 = 1.5;

/// Multiple of the peers' median time to first byte from which a replica is ejected as slow.
const FIRST_BYTE_FACTOR: f32 = 6.0;

/// Time to first byte that never counts as slow, in seconds.
const FIRST_BYTE_TOLERANCE_S: f32 = 1.0;

/// Consecutive interrupted responses after which a replica is ejected.
const MAX_INTERRUPTIONS: u32 = 2;

/// Delay of the first probe after a failure.
const FAILURE_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Delay of the first probe of a slow replica.
const SLOW_PROBE_DELAY: Duration = Duration::from_secs(10);

/// Longest delay between two probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(60);

/// Exponential moving average, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MovingAverage {
    pub(super) value: f32,
    samples: u32,
}

impl MovingAverage {
    fn observe(&mut self, value: f32) {
        let has_samples = self.samples > 0;
        self.value =
            if has_samples { self.value + SMOOTHING * (value - self.value) } else { value };
        self.samples = self.samples.saturating_add(1);
    }

    /// The average, once there are [`MIN_SAMPLES`].
    pub(super) const fn reliable(&self) -> Option<f32> {
        if self.samples >= MIN_SAMPLES { Some(self.value) } else { None }
    }
}

/// Median latencies of the replicas that an entry knows, in seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PeerMedians {
    pub(super) token_time: Option<f32>,
    pub(super) first_byte: Option<f32>,
}

/// Why a replica is ejected and when it is probed next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ejection {
    pub(super) next_probe: time::Instant,
    interval: Duration,
    /// Ejected for latency rather than for failures.
    slow: bool,
}

/// Health of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Health {
    /// Time per token.
    pub(super) token_time: MovingAverage,
    /// Time to first byte.
    pub(super) first_byte: MovingAverage,
    /// Consecutive interrupted responses.
    interruptions: u32,
    pub(super) ejection: Option<Ejection>,
}

impl Health {
    pub(super) fn record_first_byte(&mut self, elapsed: Duration) {
        self.first_byte.observe(elapsed.as_secs_f32());
    }

    pub(super) fn record_progress(&mut self, tokens: u32, elapsed: Duration) {
        self.token_time.observe(elapsed.as_secs_f32() / tokens.max(1) as f32);
    }

    /// Ends an ejection for failures. A slow replica stays ejected until it is fast again.
    pub(super) fn record_success(&mut self) {
        self.interruptions = 0;
        self.ejection = self.ejection.filter(|ejection| ejection.slow);
    }

    pub(super) fn record_interruption(&mut self, now: time::Instant) {
        self.interruptions += 1;
        if self.interruptions >= MAX_INTERRUPTIONS {
            self.record_failure(now);
        }
    }

    /// Ejects the replica. For one already ejected for failures, a failure when its probe is due
    /// doubles the delay, and an earlier one changes nothing.
    pub(super) fn record_failure(&mut self, now: time::Instant) {
        let interval = match self.ejection {
            Some(ejection) if !ejection.slow && ejection.next_probe <= now => {
                (ejection.interval * 2).min(MAX_PROBE_DELAY)
            }
            Some(ejection) if !ejection.slow => return,
            _ => FAILURE_PROBE_DELAY,
        };
        self.ejection = Some(Ejection { next_probe: now + interval, interval, slow: false });
    }

    /// Schedules the next probe after one was sent, with twice the delay.
    pub(super) fn schedule_probe(&mut self, now: time::Instant) {
        if let Some(ejection) = &mut self.ejection {
            ejection.interval = (ejection.interval * 2).min(MAX_PROBE_DELAY);
            ejection.next_probe = now + ejection.interval;
        }
    }

    /// Latency as a multiple of the peers' median time per token. A slow first byte is scaled so
    /// that [`FIRST_BYTE_FACTOR`] gives [`SLOW_FACTOR`].
    pub(super) fn slowness(&self, peers: PeerMedians) -> f32 {
        let token_time = ratio(self.token_time.reliable(), peers.token_time) / SLOW_FACTOR;
        let first_byte = self.first_byte.reliable().filter(|time| *time > FIRST_BYTE_TOLERANCE_S);
        let first_byte = ratio(first_byte, peers.first_byte) / FIRST_BYTE_FACTOR;
        token_time.max(first_byte) * SLOW_FACTOR
    }

    /// Ejects a replica that is slow compared with its peers if `may_eject`, and readmits one
    /// that has recovered.
    pub(super) fn compare(&mut self, peers: PeerMedians, may_eject: bool, now: time::Instant) {
        let slowness = self.slowness(peers);
        match self.ejection {
            Some(ejection) if ejection.slow && slowness < RECOVERY_FACTOR => self.ejection = None,
            None if may_eject && slowness >= SLOW_FACTOR => {
                let (next_probe, interval) = (now + SLOW_PROBE_DELAY, SLOW_PROBE_DELAY);
                self.ejection = Some(Ejection { next_probe, interval, slow: true });
            }
            _ => {}
        }
    }
}

/// Ratio of a value to the peers' median; 1 if either is unknown.
fn ratio(own: Option<f32>, peers: Option<f32>) -> f32 {
    match (own, peers) {
        (Some(own), Some(peers)) if peers > 0.0 => own / peers,
        _ => 1.0,
    }
}
