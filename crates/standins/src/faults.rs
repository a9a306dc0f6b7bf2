//! Fault switches of a platform service.

use std::time;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

/// Fault switches of one service; all are off by default.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How many answers to calls with an effect are lost after the effect.
    pub lost_answer: Count,
    /// How many calls with an effect are let through before answers are lost.
    pub spare: u64,
    /// Time before a call takes effect, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: time::Duration,
    /// Time between the effect and the answer, in milliseconds.
    #[serde_as(as = "serde_with::DurationMilliSeconds<u64>")]
    #[serde(rename = "answer_delay_ms")]
    pub answer_delay: time::Duration,
    /// Nothing takes effect and the caller gets no usable answer.
    pub outage: bool,
    /// Calls are refused before any effect, and the caller is told so.
    pub refuse: bool,
    /// Calls wait until the switch is off and take effect then.
    pub freeze: bool,
    /// The VM list stays as it was when the switch was set.
    pub stale: bool,
}

/// How often a fault strikes: written `true`, `false` or a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum Count {
    /// Always or never.
    Always(bool),
    /// So many times.
    Times(u64),
}

impl Default for Count {
    fn default() -> Self {
        Self::Always(false)
    }
}

impl Count {
    /// Takes one strike; answers whether there was one.
    pub fn strike(&mut self) -> bool {
        match self {
            Self::Always(on) => *on,
            Self::Times(0) => false,
            Self::Times(left) => {
                *left -= 1;
                true
            }
        }
    }
}

impl Faults {
    /// No faults.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Loses the next `count` answers after their effect.
    #[must_use]
    pub const fn lose(mut self, count: u64) -> Self {
        self.lost_answer = Count::Times(count);
        self
    }

    /// Lets `count` calls with an effect through before answers are lost.
    #[must_use]
    pub const fn spare(mut self, count: u64) -> Self {
        self.spare = count;
        self
    }

    /// Delays every call before its effect.
    #[must_use]
    pub const fn delay(mut self, delay: time::Duration) -> Self {
        self.delay = delay;
        self
    }

    /// Delays every answer after the effect.
    #[must_use]
    pub const fn answer_delay(mut self, delay: time::Duration) -> Self {
        self.answer_delay = delay;
        self
    }

    /// Switches an outage on or off.
    #[must_use]
    pub const fn outage(mut self, on: bool) -> Self {
        self.outage = on;
        self
    }

    /// Switches refusal on or off.
    #[must_use]
    pub const fn refuse(mut self, on: bool) -> Self {
        self.refuse = on;
        self
    }

    /// Switches a freeze on or off.
    #[must_use]
    pub const fn freeze(mut self, on: bool) -> Self {
        self.freeze = on;
        self
    }

    /// Switches a stale VM list on or off.
    #[must_use]
    pub const fn stale(mut self, on: bool) -> Self {
        self.stale = on;
        self
    }

    /// Whether the answer to a call with an effect is lost now.
    pub(crate) fn loses_answer(&mut self) -> bool {
        if self.spare > 0 {
            self.spare -= 1;
            return false;
        }
        self.lost_answer.strike()
    }
}
