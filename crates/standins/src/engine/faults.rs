//! Fault switches of the engine.

use serde::Deserialize;
use serde::Serialize;

use crate::faults;

/// Fault switches of one engine; all are off by default.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Speed in percent of the usual one; 10 is a straggler at a tenth of the speed.
    pub speed_percent: u32,
    /// Nothing goes on until the switch is off; connections stay open.
    pub freeze: bool,
    /// Drops every connection and all work, forgets the prefix cache and takes no new work until
    /// the switch is off.
    pub crash: bool,
    /// How many requests are answered with status 500 before they run.
    pub error: faults::Count,
    /// Drops the connection of every answer when it reaches this token.
    pub cut_at_token: Option<u32>,
}

impl Default for EngineFaults {
    fn default() -> Self {
        Self {
            speed_percent: 100,
            freeze: false,
            crash: false,
            error: faults::Count::default(),
            cut_at_token: None,
        }
    }
}

impl EngineFaults {
    /// No faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the speed in percent of the usual one.
    #[must_use]
    pub const fn speed_percent(mut self, percent: u32) -> Self {
        self.speed_percent = percent;
        self
    }

    /// Switches a freeze on or off.
    #[must_use]
    pub const fn freeze(mut self, on: bool) -> Self {
        self.freeze = on;
        self
    }

    /// Switches a crash on or off.
    #[must_use]
    pub const fn crash(mut self, on: bool) -> Self {
        self.crash = on;
        self
    }

    /// Answers the next `count` requests with an error.
    #[must_use]
    pub const fn error(mut self, count: u64) -> Self {
        self.error = faults::Count::Times(count);
        self
    }

    /// Cuts every answer at a token.
    #[must_use]
    pub const fn cut_at_token(mut self, token: u32) -> Self {
        self.cut_at_token = Some(token);
        self
    }
}
