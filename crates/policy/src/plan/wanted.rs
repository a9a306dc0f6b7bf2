//! A replica that the demand or the pool's minimum requires.

use azuregap_core::ids;
use azuregap_core::intent;

/// A replica that the demand or the pool's minimum requires.
#[derive(Clone, Debug)]
pub(super) struct WantedReplica<'a> {
    /// The pool.
    pub(super) pool: &'a intent::Pool,
    /// The highest tier that needs this replica.
    pub(super) tier: ids::Tier,
    /// Index of the replica within its pool, from 0.
    pub(super) index: u32,
    /// Number of replicas that the pool needs.
    pub(super) target: u32,
}
