//! Billable usage.

use std::ops;

use serde::Deserialize;
use serde::Serialize;

/// Billable usage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Number of requests.
    pub requests: u64,
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Number of generated tokens.
    pub output: u64,
}

impl ops::AddAssign for Usage {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.prompt += other.prompt;
        self.output += other.output;
    }
}
