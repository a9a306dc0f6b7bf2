//! Request classes.

use std::time;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::ids;

/// A request class with its tier and latency targets.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    pub name: ids::ClassId,
    /// Tier; 0 has the highest priority.
    pub tier: ids::Tier,
    /// Target time to the first token or the first byte, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "first_token_ms")]
    pub first_token: time::Duration,
    /// Target time between tokens, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "token_gap_ms")]
    pub token_gap: time::Duration,
    /// Minimum share of dispatches while the class has queued requests, in percent.
    pub floor_percent: u8,
    /// Maximum total time of a request, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: time::Duration,
}
