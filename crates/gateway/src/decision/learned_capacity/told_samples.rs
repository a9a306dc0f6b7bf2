//! Samples that a gateway tells the others.

use serde::Deserialize;
use serde::Serialize;

/// Samples of a run of a backend server that a gateway took since it last told of them.
///
/// A gateway tells only of its own samples, so none counts twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ToldSamples {
    /// Hash of the backend server's id.
    pub backend_hash: u32,
    /// Start of its run, in milliseconds since 1970.
    pub started_ms: u64,
    /// Quarter of its slots that was filled, from 0 to 3.
    pub quarter: u8,
    /// Number of samples.
    pub count: u16,
    /// Mean of the logarithm of the time against what the teller expected, in thousandths.
    pub excess: i16,
    /// Age of the newest one, in milliseconds.
    pub age_ms: u16,
}
