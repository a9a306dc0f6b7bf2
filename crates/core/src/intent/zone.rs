//! Availability zones and their spending limits.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// An availability zone and its spending limit.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Unique name.
    pub name: ids::ZoneId,
    /// Region of the zone.
    pub region: String,
    /// Spending limit per hour, in millionths of the currency unit.
    pub spend: ids::CurrencyMicros,
    /// Price of a backend server per hour, in millionths of the currency unit.
    pub price: ids::CurrencyMicros,
}
