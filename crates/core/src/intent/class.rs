//! A class of work.

use std::time;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::ids;

/// A class of work with its tier and latency targets.
#[serde_as]
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Unique name.
    pub name: ids::ClassId,
    /// Tier; 0 is served first.
    pub tier: ids::Tier,
    /// Target for the first token or the first byte, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "first_token_ms")]
    pub first_token: time::Duration,
    /// Target between two tokens, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "token_gap_ms")]
    pub token_gap: time::Duration,
    /// Share of dispatches this class gets at least while it has work waiting, in percent.
    pub floor_percent: u8,
    /// Longest time a request may take in all, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "deadline_ms")]
    pub deadline: time::Duration,
}
