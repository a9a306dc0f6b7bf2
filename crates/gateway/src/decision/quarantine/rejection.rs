//! Whether a request is sent although it may crash backend servers.

use std::time::Duration;

use super::suspect;

/// How a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has part in no suspect that is kept from backend servers.
    Normal,
    /// It shows whether a suspect still crashes backend servers. It is sent once.
    Trial,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The suspect that crashed backend servers.
    pub suspect: suspect::SuspectId,
    /// Number of its crashes since its last answer.
    pub crashes: usize,
    /// Whether it is taken for their cause; else others were lost as often, or some of the crashes may
    /// have a common cause.
    pub is_guilty: bool,
    /// Time until a trial may be sent; zero while trials may be sent in turn.
    pub time_left: Duration,
    /// Whether this is the first request that is rejected for the suspect here.
    pub is_first: bool,
}
