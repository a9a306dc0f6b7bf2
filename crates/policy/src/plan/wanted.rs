//! A replica that is wanted.

use azuregap_core::ids;
use azuregap_core::intent;

/// A replica that is wanted, with the tier it serves.
#[derive(Clone, Debug)]
pub(super) struct Unit<'a> {
    /// The pool.
    pub(super) pool: &'a intent::Pool,
    /// The tier of the highest class that needs this replica.
    pub(super) tier: ids::Tier,
    /// Number of the replica within its pool, from 0.
    pub(super) index: u32,
    /// How many replicas of the pool are wanted.
    pub(super) target: u32,
}
