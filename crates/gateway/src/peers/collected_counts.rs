//! Usage counts received from other gateways, and which of them are complete.

use std::collections;
use std::time::Duration;

use azuregap_core::ids;

use super::message;
use super::notice;
use crate::decision::usage_counts;

/// What one process reported of its counts.
#[derive(Debug, Default)]
struct ProcessCounts {
    counts: usage_counts::UsageCounts,
    /// Sums of the counts in its newest windows, as of `totals_at`.
    totals: Vec<(u64, u64)>,
    /// Time of day at the sender when it stated the sums.
    totals_at: Option<Duration>,
}

impl ProcessCounts {
    fn merge(&mut self, counts: &[message::UsageCount]) {
        self.counts.merge(counts.iter().map(|count| (count.window, count.team, count.requests)));
    }

    fn sum(&self, window: u64) -> u64 {
        self.counts.sum(window)
    }

    /// Whether all counts of a window are known as of `since` or later.
    fn is_complete(&self, window: u64, since: Duration) -> bool {
        let total = self.totals.iter().find(|(other, _)| *other == window);
        let total = total.map_or(0, |(_, total)| *total);
        self.totals_at.is_some_and(|at| at >= since) && self.sum(window) >= total
    }
}

/// Processes of one gateway; more than one if it was restarted.
type Processes = collections::BTreeMap<ids::Incarnation, ProcessCounts>;

/// Usage counts of the other gateways, by process.
#[derive(Debug, Default)]
pub struct CollectedCounts {
    gateways: collections::HashMap<ids::NodeId, Processes>,
}

impl CollectedCounts {
    /// Merges the counts of a message, and those that it passes on.
    pub fn merge(&mut self, message: &message::GossipMessage) {
        let notice = message.notice.as_ref();
        for relayed in notice.into_iter().flat_map(|notice| &notice.relayed) {
            self.process(&relayed.node, relayed.incarnation).merge(&relayed.counts);
        }
        let totals = notice.and_then(|notice| notice.totals.as_ref());
        if message.counts.is_empty() && totals.is_none() {
            return;
        }
        let process = self.process(&message.node, message.incarnation);
        process.merge(&message.counts);
        if let Some(totals) = totals {
            process.totals.clone_from(totals);
            process.totals_at = Some(message.wall_time);
        }
    }

    fn process(&mut self, node: &str, incarnation: ids::Incarnation) -> &mut ProcessCounts {
        if !self.gateways.contains_key(node) {
            self.gateways.insert(node.to_owned(), Processes::new());
        }
        let processes = self.gateways.get_mut(node).expect("the gateway was added above");
        processes.entry(incarnation).or_default()
    }

    fn processes(&self) -> impl Iterator<Item = &ProcessCounts> {
        self.gateways.values().flat_map(collections::BTreeMap::values)
    }

    /// Whether all counts of a gateway in a window are known as of `since`, a time of day at the
    /// gateway.
    #[must_use]
    pub fn is_complete(&self, node: &str, window: u64, since: Duration) -> bool {
        let processes = self.gateways.get(node).into_iter().flat_map(|all| all.values());
        processes.into_iter().any(|process| process.is_complete(window, since))
    }

    /// Counts of the newest `windows` of the processes that have stated none for `silence`, as of
    /// the time of day `now`.
    ///
    /// These have ended, or can't be reached; another gateway may not know their counts. It is not
    /// the arrival of a message that counts: a process that was frozen reads old ones.
    pub fn of_silent(
        &self,
        silence: Duration,
        windows: usize,
        now: Duration,
    ) -> impl Iterator<Item = notice::RelayedCounts> {
        let is_silent = move |process: &ProcessCounts| {
            process.totals_at.is_none_or(|at| now.saturating_sub(at) >= silence)
        };
        let all = self.gateways.iter().flat_map(|(node, processes)| {
            processes.iter().map(move |(incarnation, process)| (node, incarnation, process))
        });
        let silent = all.filter(move |(.., process)| is_silent(process));
        silent.map(move |(node, incarnation, process)| {
            let count = |(window, team, requests)| message::UsageCount { window, team, requests };
            notice::RelayedCounts {
                node: node.clone(),
                incarnation: *incarnation,
                counts: process.counts.newest(windows).map(count).collect(),
            }
        })
    }

    /// Adds the counts of all gateways in a window to `sum`.
    pub fn add_to(
        &self,
        window: u64,
        sum: &mut collections::BTreeMap<usage_counts::TeamHash, u64>,
    ) {
        for process in self.processes() {
            process.counts.add_to(window, sum);
        }
    }

    /// Sum of the counts of each gateway in a window.
    pub fn sums(&self, window: u64) -> impl Iterator<Item = (&str, u64)> {
        self.gateways.iter().map(move |(node, processes)| {
            (node.as_str(), processes.values().map(|process| process.sum(window)).sum())
        })
    }

    /// Removes windows that are no longer retained if `window` is the current one, and processes
    /// without any counts.
    pub fn prune(&mut self, window: u64, length: Duration) {
        let is_kept = |process: &mut ProcessCounts| {
            process.counts.prune(window);
            let told_recently = process.totals_at.is_some_and(|at| {
                usage_counts::window_at(at, length) + usage_counts::RETAINED_WINDOWS > window
            });
            !process.counts.is_empty() || told_recently
        };
        self.gateways.retain(|_, processes| {
            processes.retain(|_, process| is_kept(process));
            !processes.is_empty()
        });
    }
}
