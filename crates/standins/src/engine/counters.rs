//! What the engine did.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

/// What one engine did since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counters {
    /// Runs that were taken.
    pub started: u64,
    /// Of these, runs that continue an answer from an offset.
    pub resumed: u64,
    /// Runs that generated all their tokens.
    pub finished: u64,
    /// Runs whose caller went away or that were cancelled.
    pub cancelled: u64,
    /// Runs lost in a crash or cut by a fault.
    pub lost: u64,
    /// Prompt tokens of finished runs.
    pub prompt: u64,
    /// Answer tokens of finished runs.
    pub output: u64,
    /// Tokens generated, also by runs that did not finish.
    pub generated: u64,
    /// Of these, tokens of runs that were cancelled or lost.
    pub wasted: u64,
    /// Prompt tokens that were read.
    pub prefilled: u64,
    /// Prompt tokens that were found in the prefix cache.
    pub cached: u64,
    /// By request id.
    pub runs: collections::BTreeMap<String, RunCounters>,
}

/// What became of the runs of one request id.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RunCounters {
    /// Runs that were taken.
    pub started: u64,
    /// Of these, runs that continue an answer from an offset.
    pub resumed: u64,
    /// Runs that generated all their tokens.
    pub finished: u64,
    /// Runs that were cancelled or lost.
    pub ended: u64,
}

impl Counters {
    /// The counters of one request id.
    pub(crate) fn run(&mut self, id: &str) -> &mut RunCounters {
        self.runs.entry(id.to_owned()).or_default()
    }
}
