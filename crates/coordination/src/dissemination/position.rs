//! Position of a member in the relay tree of its zone.

use smallvec::SmallVec;

use crate::dissemination;
use crate::ids;
use crate::rendezvous;

/// Maximum number of sources of a member.
const MAX_SOURCES: usize = 3;

/// Position of a member in the relay tree of its zone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TreePosition {
    /// Whether the member is a reader of the table service.
    pub is_reader: bool,
    /// Processes to query: the ancestors, starting with the parent. For a reader, the other
    /// readers, as fallback if its own read fails.
    pub sources: SmallVec<[ids::NodeId; MAX_SOURCES]>,
    /// Processes to notify of a new version.
    pub children: Vec<ids::NodeId>,
}

impl TreePosition {
    /// Computes the position of `node` among the `members` of `zone`. A node that is not a member
    /// reads the table service itself.
    #[must_use]
    pub fn compute<'a>(
        node: &str,
        zone: &str,
        members: impl IntoIterator<Item = &'a str>,
        options: &dissemination::RelayOptions,
    ) -> Self {
        let ranked = rendezvous::ranked(zone, members);
        let Some(index) = ranked.iter().position(|member| *member == node) else {
            return Self { is_reader: true, ..Self::default() };
        };
        let name = |index: usize| ranked[index].to_owned();
        let children_start = options.readers + index * options.fan_out;
        let children_end = (children_start + options.fan_out).min(ranked.len());
        let is_reader = index < options.readers;
        let sources = match is_reader {
            true => {
                (0..options.readers.min(ranked.len())).filter(|&other| other != index).collect()
            }
            false => ancestors(index, options),
        };
        Self {
            is_reader,
            sources: sources.into_iter().take(MAX_SOURCES).map(name).collect(),
            children: (children_start..children_end.max(children_start)).map(name).collect(),
        }
    }

    /// The readers among the `members` of `zone`; the process that accepts a change notifies them.
    #[must_use]
    pub fn readers<'a>(
        zone: &str,
        members: impl IntoIterator<Item = &'a str>,
        options: &dissemination::RelayOptions,
    ) -> Vec<&'a str> {
        rendezvous::pick(zone, members, options.readers)
    }
}

/// Indices of the nearest ancestors of the member at `index`, nearest first.
fn ancestors(
    index: usize,
    options: &dissemination::RelayOptions,
) -> SmallVec<[usize; MAX_SOURCES]> {
    let parent =
        |index: usize| index.checked_sub(options.readers).map(|rest| rest / options.fan_out);
    std::iter::successors(parent(index), move |index| parent(*index)).take(MAX_SOURCES).collect()
}
