//! The limits of all teams as enforced by one entry.

use std::collections;
use std::time::Duration;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::refusal;
use tokio::time;

use super::bucket;
use super::team;

/// Time after which to retry when a team has too many concurrent requests.
const CONCURRENCY_RETRY: Duration = Duration::from_secs(1);

/// Usage of one team at this entry.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    running: u32,
    bucket: Option<bucket::TokenBucket>,
}

/// Enforces the limits of all teams at one entry; see the [module](super) for the error bounds.
#[derive(Clone, Debug)]
pub struct TeamLimiter {
    started: time::Instant,
    entries: u32,
    limits: collections::HashMap<ids::TeamId, team::TeamLimit>,
    usage: collections::HashMap<ids::TeamId, Usage>,
}

impl Default for TeamLimiter {
    fn default() -> Self {
        Self::new(time::Instant::now())
    }
}

impl TeamLimiter {
    /// A limiter without limits that assumes a single entry, whose process started at `started`.
    #[must_use]
    pub fn new(started: time::Instant) -> Self {
        let (limits, usage) = (collections::HashMap::new(), collections::HashMap::new());
        Self { started, entries: 1, limits, usage }
    }

    /// Sets the number of live entries, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Sets the limits to those of the intent's teams. Running requests stay counted.
    pub fn set_teams<'a>(&mut self, teams: impl IntoIterator<Item = &'a intent::Team>) {
        let limits = teams.into_iter().map(|team| (team.name.clone(), team::TeamLimit::of(team)));
        self.limits = limits.filter(|(_, limit)| *limit != team::TeamLimit::default()).collect();
        self.usage.retain(|team, usage| usage.running > 0 || self.limits.contains_key(team));
    }

    /// Admits a request of the team; [`TeamLimiter::release`] must follow.
    ///
    /// # Errors
    ///
    /// A refusal with the time after which to retry, if the team is over its limit.
    pub fn admit(&mut self, team: &str, now: time::Instant) -> Result<(), refusal::Refusal> {
        let Some(limit) = self.limits.get(team).copied() else { return Ok(()) };
        if !self.usage.contains_key(team) {
            self.usage.insert(team.to_owned(), Usage::default());
        }
        let Some(usage) = self.usage.get_mut(team) else { return Ok(()) };
        let max = limit.concurrency_share(self.entries);
        if max.is_some_and(|max| usage.running >= max) {
            return Err(refuse("the team has too many requests at once", CONCURRENCY_RETRY));
        }
        if let Some(rate) = limit.rate_share(self.entries) {
            let started = self.started;
            let bucket = usage.bucket.get_or_insert_with(|| bucket::TokenBucket::new(started));
            let taken = bucket.take(rate, now);
            taken.map_err(|wait| refuse("the team sends requests too fast", wait))?;
        }
        usage.running += 1;
        Ok(())
    }

    /// Releases what [`TeamLimiter::admit`] took, once the request has ended.
    pub fn release(&mut self, team: &str) {
        if let Some(usage) = self.usage.get_mut(team) {
            usage.running = usage.running.saturating_sub(1);
        }
    }
}

fn refuse(message: &str, after: Duration) -> refusal::Refusal {
    refusal::Refusal::not_run(code::Code::TeamLimit, message).retry_after(after)
}
