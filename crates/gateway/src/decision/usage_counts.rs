//! Request counts by team and usage window.

use std::collections;
use std::time::Duration;

use xxhash_rust::xxh3;

/// Number of windows that are retained, including the current one.
pub const RETAINED_WINDOWS: u64 = 6;

/// Hash of a team's name, the same at every gateway.
pub type TeamHash = u32;

/// Hash of a team's name; identifies the team in messages between gateways.
#[must_use]
pub fn team_hash(team: &str) -> TeamHash {
    (xxh3::xxh3_64(team.as_bytes()) & u64::from(u32::MAX)) as u32
}

/// Requests that started to run, by window and team.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UsageCounts {
    counts: collections::BTreeMap<u64, collections::BTreeMap<TeamHash, u64>>,
}

/// A usage window that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedWindow {
    /// Its number.
    pub number: u64,
    /// Time of day at which it ended.
    pub end: Duration,
    /// Time since then.
    pub ended: Duration,
    /// Its length.
    pub length: Duration,
}

impl EndedWindow {
    /// The window with a number, as of the time of day `now`.
    #[must_use]
    pub fn new(number: u64, length: Duration, now: Duration) -> Self {
        let end = length * u32::try_from(number + 1).unwrap_or(u32::MAX);
        Self { number, end, ended: now.saturating_sub(end), length }
    }
}

/// Number of the window that contains a time of day.
#[must_use]
pub fn window_at(time: Duration, length: Duration) -> u64 {
    let length = length.as_millis().max(1);
    u64::try_from(time.as_millis() / length).unwrap_or(u64::MAX)
}

impl UsageCounts {
    /// Creates empty counts.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of a team in a window.
    pub fn increment(&mut self, window: u64, team: TeamHash) {
        *self.counts.entry(window).or_default().entry(team).or_default() += 1;
        self.counts.retain(|retained, _| retained + RETAINED_WINDOWS > window);
    }

    /// Merges another copy of the same counts: the larger value of each count is kept.
    pub fn merge(&mut self, other: impl IntoIterator<Item = (u64, TeamHash, u64)>) {
        for (window, team, count) in other {
            let own = self.counts.entry(window).or_default().entry(team).or_default();
            *own = (*own).max(count);
        }
        let newest = self.counts.keys().next_back().copied().unwrap_or_default();
        self.counts.retain(|retained, _| retained + RETAINED_WINDOWS > newest);
    }

    /// Adds the counts of one window to `sum`.
    pub fn add_to(&self, window: u64, sum: &mut collections::BTreeMap<TeamHash, u64>) {
        for (team, count) in self.counts.get(&window).into_iter().flatten() {
            *sum.entry(*team).or_default() += count;
        }
    }

    /// Sum of the counts of one window.
    #[must_use]
    pub fn sum(&self, window: u64) -> u64 {
        self.counts.get(&window).into_iter().flat_map(|teams| teams.values()).sum()
    }

    /// Counts of the newest windows, as (window, team, count).
    pub fn newest(&self, windows: usize) -> impl Iterator<Item = (u64, TeamHash, u64)> {
        self.counts
            .iter()
            .rev()
            .take(windows)
            .flat_map(|(window, teams)| teams.iter().map(|(team, count)| (*window, *team, *count)))
    }

    /// Sum of the counts in each of the newest windows, by window.
    #[must_use]
    pub fn totals(&self, windows: usize) -> Vec<(u64, u64)> {
        let newest = self.counts.iter().rev().take(windows);
        newest.map(|(window, teams)| (*window, teams.values().sum())).collect()
    }

    /// Removes windows that are no longer retained if `window` is the current one.
    pub fn prune(&mut self, window: u64) {
        self.counts.retain(|retained, _| retained + RETAINED_WINDOWS > window);
    }

    /// Whether there are no counts in the retained windows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
}
