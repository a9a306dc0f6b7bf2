//! Cost of a plan.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// Cost after every step, in millionths of the currency unit per hour.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cost {
    /// Total of all zones.
    pub per_hour: ids::Micros,
    /// Cost by zone.
    pub zones: Vec<ZoneCost>,
}

/// Cost of one zone, in millionths of the currency unit per hour.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneCost {
    /// The zone.
    pub zone: ids::ZoneId,
    /// Cost of its backend servers.
    pub cost: ids::Micros,
    /// Spending limit.
    pub spend: ids::Micros,
}
