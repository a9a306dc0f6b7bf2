//! Estimated demand.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// Estimated demand of one class on one pool.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// The pool.
    pub pool: ids::PoolId,
    /// The class.
    pub class: ids::ClassId,
    /// Tokens, or requests of a plain service, per second.
    pub rate: f64,
}
