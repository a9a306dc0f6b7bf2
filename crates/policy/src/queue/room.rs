//! Who gets a place in the queue, and who loses one.

use std::time::Duration;

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::refusal;

use super::bounded::Place;
use super::bounded::Queue;

/// Places beyond the first that a team far under its share may take whatever the expected wait.
const BEHIND_PLACES: usize = 1;

/// Share of the first-token target that a request may spend waiting: one in this many.
const WAIT_SHARE: u32 = 3;

/// Shortest time to come back.
const LEAST_RETRY: Duration = Duration::from_secs(1);

/// Longest time to come back.
const MOST_RETRY: Duration = Duration::from_secs(60);

/// Steps over which callers that are refused together are spread when they come back.
const SPREAD: u32 = 256;

impl<T> Queue<T> {
    /// Expected wait of a request of this tier that came now.
    #[must_use]
    pub fn expected_wait(&self, tier: ids::Tier) -> Duration {
        let places = self.ahead(tier) + 1;
        self.service.wait(places, self.limits.slots).unwrap_or_default()
    }

    /// Whether the class may add a job without displacing another: while it is likely to start in
    /// time, and one more if it is of a team far under its share.
    pub(super) fn has_room(&self, class: usize, behind: bool) -> bool {
        let class = &self.classes[class];
        if self.places.len() >= self.limits.waiting as usize {
            return false;
        }
        let ahead = self.ahead(class.tier);
        if ahead <= if behind { BEHIND_PLACES } else { 0 } {
            return true;
        }
        let wait = self.service.wait(ahead + 1, self.limits.slots);
        let budget = class.target.map(|target| target / WAIT_SHARE);
        match (wait, budget) {
            (Some(wait), Some(budget)) => wait <= budget,
            _ => true,
        }
    }

    /// Jobs waiting in this tier and the higher ones.
    fn ahead(&self, tier: ids::Tier) -> usize {
        let ahead = self.classes.iter().filter(|class| class.tier <= tier);
        ahead.map(|class| class.jobs.len()).sum()
    }

    /// The job to displace: the last of the lowest tier, or the last of the same class, if it
    /// comes after the offered one. The reserved place stays with its class.
    pub(super) fn victim(&self, class: usize, start: u64) -> Option<Place> {
        let tier = self.classes[class].tier;
        let candidates = self.classes.iter().enumerate();
        let candidates = candidates.filter(|(_, class)| class.sheddable() > 0);
        let last = candidates.filter_map(|(i, class)| Some((class.tier, class.last()?, i)));
        let own = self.classes[class].last().map(|position| (tier, position, class));
        let (lowest, position, class) = last.max().max(own)?;
        let later = lowest > tier || (lowest == tier && position.0 > start);
        later.then_some(Place { class, position })
    }

    pub(super) fn refusal(
        &self,
        tier: ids::Tier,
        code: code::Code,
        id: ids::RequestId,
    ) -> refusal::Refusal {
        let wait = self.expected_wait(tier).clamp(LEAST_RETRY, MOST_RETRY);
        let step = u32::try_from(id % u128::from(SPREAD)).unwrap_or_default();
        let after = wait + wait * step / SPREAD;
        let message = match code {
            code::Code::Shed => "the place was needed for a request that goes first",
            _ => "the queue of the backend server is full",
        };
        refusal::Refusal::not_run(code, message).retry_after(after)
    }
}
