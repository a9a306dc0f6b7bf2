//! What is billed.

use std::ops;

use serde::Deserialize;
use serde::Serialize;

/// What is billed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Usage {
    /// Requests.
    pub requests: u64,
    /// Prompt tokens.
    pub prompt: u64,
    /// Generated tokens.
    pub output: u64,
}

impl ops::AddAssign for Usage {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.prompt += other.prompt;
        self.output += other.output;
    }
}
