//! Availability zones with their spend.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// An availability zone and what may be spent in it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Unique name.
    pub name: ids::ZoneId,
    /// The region it lies in.
    pub region: String,
    /// Most to spend per hour, in millionths of the currency unit.
    pub spend: ids::CurrencyMicros,
    /// Price of one backend server per hour, in millionths of the currency unit.
    pub price: ids::CurrencyMicros,
}
