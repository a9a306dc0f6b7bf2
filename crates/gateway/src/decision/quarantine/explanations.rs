//! Which crashes are explained by suspects outside of a request.

use std::collections;
use std::time::Duration;

use super::crash;
use super::record;

/// Number of crashes of the most suspect of some suspects; zero if there are none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Strength {
    /// Of all of them.
    of_all: usize,
    /// Of those that were never answered.
    of_unanswered: usize,
}

impl Strength {
    fn of(record: &record::Record) -> Self {
        let crashes = record.crashes.len();
        let of_unanswered = if record.answered_at.is_zero() { crashes } else { 0 };
        Self { of_all: crashes, of_unanswered }
    }

    fn max(self, other: Self) -> Self {
        Self {
            of_all: self.of_all.max(other.of_all),
            of_unanswered: self.of_unanswered.max(other.of_unanswered),
        }
    }

    /// Whether one of them explains a crash of a suspect with `crashes` of its own, which was answered
    /// all the time if it `is_current`.
    pub(super) fn explains(self, crashes: usize, is_current: bool) -> bool {
        self.of_all >= crashes || (is_current && self.of_unanswered >= super::RETRY_CRASHES)
    }
}

/// Crashes of one backend server, by the time at which they were noticed, for the strongest in a span.
#[derive(Debug, Default)]
struct Timeline {
    times: Vec<crash::TimeOfDay>,
    /// Strength of the crashes from an index on: of 1, 2, 4 and so on of them.
    spans: Vec<Vec<Strength>>,
}

impl Timeline {
    fn new(mut crashes: Vec<(crash::TimeOfDay, Strength)>) -> Self {
        crashes.sort_unstable_by_key(|(at, _)| *at);
        let (times, single): (Vec<_>, Vec<_>) = crashes.into_iter().unzip();
        let mut spans = vec![single];
        let mut width = 1;
        while width * 2 <= times.len() {
            let half = spans.last().expect("there is a first one");
            let pairs = half.iter().zip(&half[width..]);
            let next = pairs.map(|(left, right)| left.max(*right)).collect();
            spans.push(next);
            width *= 2;
        }
        Self { times, spans }
    }

    /// The strongest of the crashes less than `distance` before or after `at`.
    fn around(&self, at: crash::TimeOfDay, distance: Duration) -> Strength {
        let begin = self.times.partition_point(|time| *time < at && at - *time >= distance);
        let end = self.times.partition_point(|time| *time <= at || *time - at < distance);
        let Some(level) = (end - begin).checked_ilog2() else { return Strength::default() };
        let spans = &self.spans[level as usize];
        spans[begin].max(spans[end - (1 << level)])
    }
}

/// What is known of the crashes of one backend server.
#[derive(Debug, Default)]
struct Server {
    /// By the start of the run that ended.
    runs: collections::HashMap<u64, Strength>,
    /// Of runs whose start isn't known.
    unknown: Timeline,
    all: Timeline,
}

/// Suspects outside of a request, by the crashes that they were part of. It is built in one pass over
/// their records, and asked about each crash of each suspect of the request.
#[derive(Debug, Default)]
pub(super) struct Explanations {
    servers: collections::BTreeMap<u32, Server>,
}

impl Explanations {
    /// Collects the crashes of some backend servers in the records of suspects outside of the request.
    pub(super) fn new<'a>(
        outside: impl Iterator<Item = &'a record::Record>,
        servers: &collections::BTreeSet<u32>,
    ) -> Self {
        let mut crashes: collections::BTreeMap<u32, Vec<_>> = collections::BTreeMap::new();
        for record in outside {
            let strength = Strength::of(record);
            for crash in record.crashes.iter().filter(|it| servers.contains(&it.backend_hash)) {
                crashes.entry(crash.backend_hash).or_default().push((*crash, strength));
            }
        }
        let server = |(backend_hash, crashes): (u32, Vec<(crash::Crash, Strength)>)| {
            let mut runs: collections::HashMap<_, Strength> = collections::HashMap::new();
            for (crash, strength) in crashes.iter().filter(|(crash, _)| crash.started_ms != 0) {
                let strongest = runs.entry(crash.started_ms).or_default();
                *strongest = strongest.max(*strength);
            }
            let at = |(crash, strength): &(crash::Crash, Strength)| (crash.at, *strength);
            let unknown = crashes.iter().filter(|(crash, _)| crash.started_ms == 0).map(at);
            let unknown = Timeline::new(unknown.collect());
            let all = Timeline::new(crashes.iter().map(at).collect());
            (backend_hash, Server { runs, unknown, all })
        };
        Self { servers: crashes.into_iter().map(server).collect() }
    }

    /// The strongest of those that were part of a crash.
    pub(super) fn of(&self, crash: &crash::Crash) -> Strength {
        let Some(server) = self.servers.get(&crash.backend_hash) else {
            return Strength::default();
        };
        let around = |timeline: &Timeline| timeline.around(crash.at, crash::SAME_CRASH);
        if crash.started_ms == 0 {
            return around(&server.all);
        }
        let known = server.runs.get(&crash.started_ms).copied().unwrap_or_default();
        known.max(around(&server.unknown))
    }
}
