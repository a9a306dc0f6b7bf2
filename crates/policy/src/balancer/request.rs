//! The properties of a request that matter for selecting a replica.

use azuregap_core::ids;
use smallvec::SmallVec;

/// The properties of a request that matter for selecting a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Hash of the prompt's prefix, see [`super::prefix::hash`].
    pub prefix: Option<u64>,
    /// Whether the request may be used to probe an ejected replica.
    pub may_probe: bool,
    /// Replicas that were tried already.
    pub avoid: SmallVec<[ids::NodeId; 2]>,
}

impl Request {
    /// A request without a prefix that was not tried before and may not probe.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the hash of the prompt's prefix.
    #[must_use]
    pub const fn prefix(mut self, hash: u64) -> Self {
        self.prefix = Some(hash);
        self
    }

    /// Sets whether the request may be used as a probe. A probe may be slow or fail, so the
    /// request must be idempotent, and preferably of the lowest tier that is routed to the pool.
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
