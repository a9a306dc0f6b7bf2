//! What a plan costs.

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

/// Cost once every step was taken, in millionths of the currency unit per hour.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cost {
    /// Sum over the zones.
    pub per_hour: ids::Micros,
    /// Each zone.
    pub zones: Vec<ZoneCost>,
}

/// Cost of one zone, in millionths of the currency unit per hour.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneCost {
    /// The zone.
    pub zone: ids::ZoneId,
    /// What its backend servers cost.
    pub cost: ids::Micros,
    /// What may be spent.
    pub spend: ids::Micros,
}
