//! The place of a member in the relay tree of its zone.

use smallvec::SmallVec;

use crate::dissemination;
use crate::ids;
use crate::rendezvous;

/// Most others that a member keeps to ask.
const MAX_SOURCES: usize = 3;

/// The place of a member in the relay tree of its zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TreePosition {
    /// Whether the member reads the table service as a rule.
    pub is_reader: bool,
    /// Whom to ask: the ancestors, the parent first; for a reader the other readers, in case its
    /// own read fails.
    pub sources: SmallVec<[ids::NodeId; MAX_SOURCES]>,
    /// Whom to tell of a new version.
    pub children: Vec<ids::NodeId>,
}

impl TreePosition {
    /// The place of `node` among `members` of `zone`; a node that is not among them reads by
    /// itself.
    #[must_use]
    pub fn compute<'a>(
        node: &str,
        zone: &str,
        members: impl IntoIterator<Item = &'a str>,
        rules: &dissemination::RelayOptions,
    ) -> Self {
        let ranked = rendezvous::ranked(zone, members);
        let Some(index) = ranked.iter().position(|member| *member == node) else {
            return Self { is_reader: true, ..Self::default() };
        };
        let name = |index: usize| ranked[index].to_owned();
        let first = rules.readers + index * rules.fan_out;
        let end = (first + rules.fan_out).min(ranked.len());
        let is_reader = index < rules.readers;
        let sources = match is_reader {
            true => (0..rules.readers.min(ranked.len())).filter(|&other| other != index).collect(),
            false => ancestors(index, rules),
        };
        Self {
            is_reader,
            sources: sources.into_iter().take(MAX_SOURCES).map(name).collect(),
            children: (first..end.max(first)).map(name).collect(),
        }
    }

    /// The readers among `members` of `zone`; who accepts a change tells them.
    #[must_use]
    pub fn readers<'a>(
        zone: &str,
        members: impl IntoIterator<Item = &'a str>,
        rules: &dissemination::RelayOptions,
    ) -> Vec<&'a str> {
        rendezvous::pick(zone, members, rules.readers)
    }
}

/// Indices of the nearest ancestors of the member at `index`.
fn ancestors(index: usize, rules: &dissemination::RelayOptions) -> SmallVec<[usize; MAX_SOURCES]> {
    let parent = |index: usize| index.checked_sub(rules.readers).map(|rest| rest / rules.fan_out);
    std::iter::successors(parent(index), move |index| parent(*index)).take(MAX_SOURCES).collect()
}
