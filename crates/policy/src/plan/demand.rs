//! Estimated demand on a pool.

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
    /// Tokens per second, or requests per second for a plain service.
    pub rate: f64,
}
