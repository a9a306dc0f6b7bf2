//! The limits of all teams as one entry enforces them.

use std::collections;
use std::time::Duration;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::refusal;
use tokio::time;

use super::bucket;
use super::team;

/// When to come back after too many requests at once.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Requests of a team at this entry.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    running: u32,
    bucket: Option<bucket::Bucket>,
}

/// The limits of all teams as one entry enforces them; see the [module](super) for their error.
#[derive(Clone, Debug)]
pub struct TeamLimiter {
    entries: u32,
    limits: collections::HashMap<ids::TeamId, team::TeamLimit>,
    uses: collections::HashMap<ids::TeamId, Use>,
}

impl Default for TeamLimiter {
    fn default() -> Self {
        Self::new()
    }
}

impl TeamLimiter {
    /// No limits, and one entry.
    #[must_use]
    pub fn new() -> Self {
        let (limits, uses) = (collections::HashMap::new(), collections::HashMap::new());
        Self { entries: 1, limits, uses }
    }

    /// Takes the number of live entries, this one included.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Takes the teams of the intent; what runs stays counted.
    pub fn set_teams<'a>(&mut self, teams: impl IntoIterator<Item = &'a intent::Team>) {
        let limits = teams.into_iter().map(|team| (team.name.clone(), team::TeamLimit::of(team)));
        self.limits = limits.filter(|(_, limit)| *limit != team::TeamLimit::default()).collect();
        self.uses.retain(|team, used| used.running > 0 || self.limits.contains_key(team));
    }

    /// Lets a request of the team through; [`TeamLimiter::release`] must follow.
    ///
    /// # Errors
    ///
    /// A refusal with the time to come back when the team is over its limit.
    pub fn admit(&mut self, team: &str, now: time::Instant) -> Result<(), refusal::Refusal> {
        let Some(limit) = self.limits.get(team).copied() else { return Ok(()) };
        if !self.uses.contains_key(team) {
            self.uses.insert(team.to_owned(), Use::default());
        }
        let Some(used) = self.uses.get_mut(team) else { return Ok(()) };
        let most = limit.concurrency_share(self.entries);
        if most.is_some_and(|most| used.running >= most) {
            return Err(refuse("the team has too many requests at once", BUSY_RETRY));
        }
        if let Some(rate) = limit.rate_share(self.entries) {
            let bucket = used.bucket.get_or_insert_with(|| bucket::Bucket::full(rate, now));
            let taken = bucket.take(rate, now);
            taken.map_err(|wait| refuse("the team sends requests too fast", wait))?;
        }
        used.running += 1;
        Ok(())
    }

    /// Gives back what [`TeamLimiter::admit`] took, once the request has ended.
    pub fn release(&mut self, team: &str) {
        if let Some(used) = self.uses.get_mut(team) {
            used.running = used.running.saturating_sub(1);
        }
    }
}

fn refuse(message: &str, after: Duration) -> refusal::Refusal {
    refusal::Refusal::not_run(code::Code::TeamLimit, message).retry_after(after)
}
