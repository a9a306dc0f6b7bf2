//! What was seen of one run of a backend server.

use std::time::Duration;

use smallvec::SmallVec;
use tokio::time;

use super::average;

/// Quarters of the slots that are told apart.
pub(super) const QUARTERS: usize = 4;

/// Half-life of what shows a change: a few of them pass within the three seconds in which a change is
/// to be followed.
const FAST: Duration = Duration::from_millis(700);

/// Half-life of what shows small differences, for which many samples are needed.
const SLOW: Duration = Duration::from_secs(15);

/// Samples by which a change shows: one slow request is no change.
const MIN_CHANGE_WEIGHT: f64 = 2.0;

/// Time without samples after which a slow server is tried again step by step.
const TRIAL_DELAY: Duration = Duration::from_millis(500);

/// Time in which the slowness of a server without samples is forgotten by half: the largest one fades
/// to [`MIN_EXCESS`] within the three seconds in which a change is to be followed.
const TRIAL_HALF_LIFE: Duration = Duration::from_millis(450);

/// Logarithm of the slowness below which a server counts as typical.
const MIN_EXCESS: f64 = 0.1;

/// A request that waits this many times as long as expected is overdue.
const OVERDUE: f64 = 4.0;

/// The same for a server that was slow.
const OVERDUE_ON_TRIAL: f64 = 2.0;

/// Outstanding requests that are remembered.
const MAX_OUTSTANDING: usize = 16;

/// Largest logarithm of the slowness, either way: a server that is believed to be slow still gets a
/// request when the others have many.
const MAX_EXCESS: f64 = 2.0;

/// Time in which a server that rejected a request is expected to take one more.
const REJECTION_RECOVERY: Duration = Duration::from_millis(250);

/// A request that was sent and whose first event or answer has not come.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    ticket: u64,
    since: time::Instant,
    expected: f64,
}

/// What was seen of one run of a backend server.
#[derive(Clone, Debug)]
pub(super) struct Track {
    pub(super) started_ms: u64,
    /// Logarithm of its times against those expected.
    whole: average::Average,
    /// What exceeds that of the other servers: the new samples and all of them.
    fast: average::Average,
    slow: average::Average,
    /// What is left of that, by the quarter of the slots that was filled.
    quarters: [average::Average; QUARTERS],
    outstanding: SmallVec<[Outstanding; 4]>,
    /// Requests that ran there when it rejected one.
    rejected: Option<(u32, time::Instant)>,
    /// When it answered last, or when the request was sent that it didn't answer.
    pub(super) sampled_at: Option<time::Instant>,
    /// Own samples that the other gateways weren't told of: their number and sum.
    pub(super) untold: [(u16, f64); QUARTERS],
    /// When the newest of these was taken, as [`Self::sampled_at`].
    pub(super) told_at: Option<time::Instant>,
    /// Slowness that was reported last.
    pub(super) reported: f64,
    /// What the samples say.
    pub(super) view: View,
}

/// What the samples of a run say; determined with each of them, since many requests ask for it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct View {
    /// Logarithm of the slowness while few requests run.
    level: f64,
    /// What is added to it in each quarter of the slots.
    crowding: [f64; QUARTERS],
    /// Share of the slots beyond which more requests at the same time are served no faster, so that
    /// each of them only gets later.
    pub(super) knee: Option<f64>,
}

impl View {
    /// Logarithm of the slowness in a quarter of the slots.
    pub(super) fn excess(&self, quarter: usize) -> f64 {
        self.level + self.crowding[quarter]
    }
}

impl Track {
    /// A run of which nothing was seen.
    pub(super) fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            whole: average::Average::new(FAST),
            fast: average::Average::new(FAST),
            slow: average::Average::new(SLOW),
            quarters: [average::Average::new(SLOW); QUARTERS],
            outstanding: SmallVec::new(),
            rejected: None,
            sampled_at: None,
            untold: [(0, 0.0); QUARTERS],
            told_at: None,
            reported: 1.0,
            view: View::default(),
        }
    }

    /// Adds `count` samples; `excess` is the mean logarithm of their times against those expected.
    pub(super) fn observe_whole(&mut self, excess: f64, count: f64, now: time::Instant) {
        self.whole.add(excess, count, now);
    }

    /// Adds a sample for the other gateways.
    pub(super) fn add_untold(&mut self, quarter: usize, excess: f64, sampled_at: time::Instant) {
        let (count, sum) = &mut self.untold[quarter];
        (*count, *sum) = (count.saturating_add(1), *sum + excess);
        self.told_at = self.told_at.max(Some(sampled_at));
    }

    /// Newest mean of what was observed.
    pub(super) const fn whole(&self) -> f64 {
        self.whole.mean()
    }

    /// Adds `count` samples; `excess` is what is left without what all servers have in common.
    pub(super) fn observe(
        &mut self,
        quarter: usize,
        excess: f64,
        count: f64,
        variance: f64,
        (sampled_at, now): (time::Instant, time::Instant),
    ) {
        let level = excess - self.crowding(quarter, variance, now);
        self.quarters[quarter].add(excess - self.fast.mean(), count, now);
        self.fast.add(level, count, now);
        self.slow.add(level, count, now);
        let weights = [self.fast.weight(now), self.slow.weight(now)];
        let difference = self.fast.mean() - self.slow.mean();
        let has_changed = average::significant(difference, variance, harmonic(weights)) != 0.0;
        if weights[0] >= MIN_CHANGE_WEIGHT && has_changed {
            self.slow.replace_samples(&self.fast);
        }
        self.sampled_at = self.sampled_at.max(Some(sampled_at));
    }

    /// Determines what the samples say; `median` is the mean excess of the median server.
    pub(super) fn update_view(&mut self, median: f64, variance: f64, now: time::Instant) {
        let difference = self.slow.mean() - median;
        let level = average::significant(difference, variance, self.slow.weight(now));
        let crowding = std::array::from_fn(|quarter| self.crowding(quarter, variance, now));
        let gains_nothing = |quarter: &usize| {
            let middle = *quarter as f64 + 0.5;
            crowding[*quarter] > (middle / (middle - 1.0)).ln()
        };
        let knee = (1..QUARTERS).find(gains_nothing);
        let knee = knee.map(|quarter| quarter as f64 / QUARTERS as f64);
        self.view = View { level, crowding, knee };
    }

    /// How slow it is for a request in a quarter of its slots.
    pub(super) fn slowness(&self, quarter: usize, now: time::Instant) -> f64 {
        let excess = self.view.excess(quarter) * self.trust(now);
        let excess = if excess.abs() < MIN_EXCESS { 0.0 } else { excess };
        excess
            .max(self.overdue(now).map_or(f64::MIN, |(overdue, _)| overdue))
            .clamp(-MAX_EXCESS, MAX_EXCESS)
            .exp()
    }

    /// Mean excess.
    pub(super) const fn mean(&self) -> f64 {
        self.slow.mean()
    }

    /// Whether requests are waited for.
    pub(super) fn is_waited_for(&self) -> bool {
        !self.outstanding.is_empty()
    }

    /// By how much the logarithm is larger in a quarter than in those below.
    fn crowding(&self, quarter: usize, variance: f64, now: time::Instant) -> f64 {
        let (lower, upper) = self.quarters.split_at(quarter);
        let weight = lower.iter().map(|average| average.weight(now)).sum::<f64>();
        let sum = lower.iter().map(|average| average.weight(now) * average.mean()).sum::<f64>();
        if weight <= 0.0 {
            return 0.0;
        }
        let weights = [weight, upper[0].weight(now)];
        let difference = upper[0].mean() - sum / weight;
        average::significant(difference, variance, harmonic(weights)).max(0.0)
    }

    /// How much of its slowness still counts; a server that gets no requests is tried again.
    fn trust(&self, now: time::Instant) -> f64 {
        let Some(at) = self.sampled_at else { return 0.0 };
        let unseen = now.saturating_duration_since(at).saturating_sub(TRIAL_DELAY);
        0.5_f64.powf(unseen.as_secs_f64() / TRIAL_HALF_LIFE.as_secs_f64())
    }

    /// Records that a request is sent which is expected to wait for `expected` seconds.
    pub(super) fn begin(&mut self, ticket: u64, expected: f64, since: time::Instant) {
        if self.outstanding.len() < MAX_OUTSTANDING {
            self.outstanding.push(Outstanding { ticket, since, expected });
        }
    }

    /// Records that a request waits no longer.
    pub(super) fn end(&mut self, ticket: u64) {
        self.outstanding.retain(|outstanding| outstanding.ticket != ticket);
    }

    /// Logarithm of the time for which requests have waited against that expected, and when the newest
    /// of them was sent, if they are overdue: more than one of them, or the one with which a slow server
    /// is tried again.
    pub(super) fn overdue(&self, now: time::Instant) -> Option<(f64, time::Instant)> {
        let ratio = |outstanding: &Outstanding| {
            let waited = now.saturating_duration_since(outstanding.since).as_secs_f64();
            (waited / outstanding.expected.max(1e-3), outstanding.since)
        };
        let mut ratios: SmallVec<[_; MAX_OUTSTANDING]> =
            self.outstanding.iter().map(ratio).collect();
        ratios.sort_unstable_by(|left, right| right.0.total_cmp(&left.0));
        let is_trial = self.view.level >= OVERDUE_ON_TRIAL.ln();
        let (count, overdue) = if is_trial { (1, OVERDUE_ON_TRIAL) } else { (2, OVERDUE) };
        let last = ratios.get(count - 1).filter(|(ratio, _)| *ratio >= overdue);
        last.map(|(ratio, since)| (ratio.ln(), *since))
    }

    /// Records that it rejected a request while `running` others ran there.
    pub(super) const fn reject(&mut self, running: u32, now: time::Instant) {
        self.rejected = Some((running, now));
    }

    /// Requests that it takes, after it rejected one.
    pub(super) fn room(&self, now: time::Instant) -> Option<f64> {
        let (running, at) = self.rejected?;
        let age = now.saturating_duration_since(at).as_secs_f64();
        Some(f64::from(running) + age / REJECTION_RECOVERY.as_secs_f64())
    }
}

/// Weight of the difference of two means.
fn harmonic([left, right]: [f64; 2]) -> f64 {
    1.0 / (1.0 / left + 1.0 / right)
}
