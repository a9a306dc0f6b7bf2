//! Settings of the engine.

use std::time;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Settings of one engine.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Requests that run at once.
    pub slots: usize,
    /// Time to read one prompt token that is not cached, in microseconds.
    #[serde_as(as = "serde_with::DurationMicroSeconds<u64>")]
    #[serde(rename = "prefill_us")]
    pub prefill: time::Duration,
    /// Time between two tokens of a request that runs alone, in microseconds.
    #[serde_as(as = "serde_with::DurationMicroSeconds<u64>")]
    #[serde(rename = "decode_us")]
    pub decode: time::Duration,
    /// How much each further running request adds to the time between tokens, in percent.
    pub batch_percent: u32,
    /// Most prompt tokens read in one step.
    pub prefill_chunk: u32,
    /// Size of the prefix cache, in tokens.
    pub cache_tokens: usize,
    /// Age of the load that is reported, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "load_lag_ms")]
    pub load_lag: time::Duration,
    /// Time to load a model or adapter, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "load_time_ms")]
    pub load_time: time::Duration,
    /// Whether orders with an old fencing number are refused, or carried out all the same.
    pub checks_fence: bool,
    /// Models that can be asked for; none means any.
    pub models: Vec<String>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            prefill: time::Duration::from_micros(100),
            decode: time::Duration::from_millis(10),
            batch_percent: 5,
            prefill_chunk: 512,
            cache_tokens: 16_384,
            load_lag: time::Duration::from_millis(500),
            load_time: time::Duration::ZERO,
            checks_fence: true,
            models: Vec::new(),
        }
    }
}

impl Settings {
    /// An engine of 8 slots, 10 ms between tokens and 0.1 ms for a prompt token.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// An engine that needs no time.
    #[must_use]
    pub fn instant() -> Self {
        Self::new().prefill(time::Duration::ZERO).decode(time::Duration::ZERO)
    }

    /// Sets how many requests run at once.
    #[must_use]
    pub const fn slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// Sets the time to read one prompt token.
    #[must_use]
    pub const fn prefill(mut self, prefill: time::Duration) -> Self {
        self.prefill = prefill;
        self
    }

    /// Sets the time between two tokens.
    #[must_use]
    pub const fn decode(mut self, decode: time::Duration) -> Self {
        self.decode = decode;
        self
    }

    /// Sets how much each further running request adds to the time between tokens.
    #[must_use]
    pub const fn batch_percent(mut self, percent: u32) -> Self {
        self.batch_percent = percent;
        self
    }

    /// Sets the size of the prefix cache.
    #[must_use]
    pub const fn cache_tokens(mut self, tokens: usize) -> Self {
        self.cache_tokens = tokens;
        self
    }

    /// Sets the age of the load that is reported.
    #[must_use]
    pub const fn load_lag(mut self, lag: time::Duration) -> Self {
        self.load_lag = lag;
        self
    }

    /// Sets whether orders with an old fencing number are refused.
    #[must_use]
    pub const fn checks_fence(mut self, checks: bool) -> Self {
        self.checks_fence = checks;
        self
    }

    /// Adds a model that can be asked for.
    #[must_use]
    pub fn model(mut self, name: impl Into<String>) -> Self {
        self.models.push(name.into());
        self
    }
}
