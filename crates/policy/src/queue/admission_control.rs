//! Whether a job may join the queue, and which waiting job is shed for it.

use std::time::Duration;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;

use super::bounded::Place;
use super::bounded::Queue;

/// Jobs ahead with which a team far below its share may still join, whatever the expected wait.
const BEHIND_PLACES: usize = 1;

/// Divisor of the first-token target that gives the longest acceptable wait.
const WAIT_DIVISOR: u32 = 3;

/// Shortest time after which a refused request may be retried.
const MIN_RETRY: Duration = Duration::from_secs(1);

/// Longest time after which a refused request may be retried, before the spread is added.
const MAX_RETRY: Duration = Duration::from_secs(60);

/// Number of steps over which the retries of requests refused together are spread.
const RETRY_STEPS: u32 = 256;

impl<T> Queue<T> {
    /// Expected wait of a request of this tier that arrives now; zero if it is not known.
    #[must_use]
    pub fn expected_wait(&self, tier: ids::Tier) -> Duration {
        let requests = self.count_ahead(tier) + 1;
        self.service_time.expected_wait(requests, self.limits.slots).unwrap_or_default()
    }

    /// Whether a job of the class may join the queue without shedding another: there is a free
    /// place, and no job is ahead or the job is likely to start in time. If its team is `behind`,
    /// far below its share, it may also join with [`BEHIND_PLACES`] jobs ahead.
    pub(super) fn has_room(&self, class: usize, behind: bool) -> bool {
        let class = &self.classes[class];
        if self.places.len() >= self.limits.waiting as usize {
            return false;
        }
        let ahead = self.count_ahead(class.tier);
        if ahead <= if behind { BEHIND_PLACES } else { 0 } {
            return true;
        }
        let wait = self.service_time.expected_wait(ahead + 1, self.limits.slots);
        let max_wait = class.first_token.map(|target| target / WAIT_DIVISOR);
        match (wait, max_wait) {
            (Some(wait), Some(max_wait)) => wait <= max_wait,
            _ => true,
        }
    }

    /// Number of jobs that wait in this tier and the higher ones.
    fn count_ahead(&self, tier: ids::Tier) -> usize {
        let ahead = self.classes.iter().filter(|class| class.tier <= tier);
        ahead.map(|class| class.jobs.len()).sum()
    }

    /// The job to shed: the last of the lowest tier, or the last of the same class, if it comes
    /// after the offered one. The reserved place of a class is taken only by the class itself.
    pub(super) fn victim(&self, class: usize, start_tag: u64) -> Option<Place> {
        let tier = self.classes[class].tier;
        let candidates = self.classes.iter().enumerate();
        let candidates = candidates.filter(|(_, class)| class.sheddable_count() > 0);
        let last = candidates.filter_map(|(i, class)| Some((class.tier, class.last_key()?, i)));
        let own = self.classes[class].last_key().map(|key| (tier, key, class));
        let (lowest, key, class) = last.max().max(own)?;
        let later = lowest > tier || (lowest == tier && key.0 > start_tag);
        later.then_some(Place { class, key })
    }

    pub(super) fn refusal(
        &self,
        tier: ids::Tier,
        code: code::Code,
        id: ids::RequestId,
    ) -> refusal::Refusal {
        let wait = self.expected_wait(tier).clamp(MIN_RETRY, MAX_RETRY);
        let step = u32::try_from(id % u128::from(RETRY_STEPS)).unwrap_or_default();
        let after = wait + wait * step / RETRY_STEPS;
        let message = match code {
            code::Code::Shed => "the place was needed for a request that goes first",
            _ => "the queue of the backend server is full",
        };
        refusal::Refusal::not_run(code, message).retry_after(after)
    }
}
