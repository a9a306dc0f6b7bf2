//! What the choice needs to know of a request.

use azuregap_core::ids;
use smallvec::SmallVec;

/// What the choice needs to know of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Hash of the prompt's beginning, see [`super::prefix::hash`].
    pub prefix: Option<u64>,
    /// Whether it may serve to probe a replica that was left out.
    pub may_probe: bool,
    /// Replicas that were tried already.
    pub avoid: SmallVec<[ids::NodeId; 2]>,
}

impl Request {
    /// A request without a prefix, that is no probe and was not tried before.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the hash of the prompt's beginning.
    #[must_use]
    pub const fn prefix(mut self, hash: u64) -> Self {
        self.prefix = Some(hash);
        self
    }

    /// Sets whether it may serve as a probe: only if it is idempotent, and better if it is of the
    /// lowest tier that comes to the pool, because a probe may be slow or fail.
    #[must_use]
    pub const fn may_probe(mut self, may_probe: bool) -> Self {
        self.may_probe = may_probe;
        self
    }

    /// Adds a replica that was tried already.
    #[must_use]
    pub fn avoid(mut self, node: impl Into<ids::NodeId>) -> Self {
        self.avoid.push(node.into());
        self
    }
}
