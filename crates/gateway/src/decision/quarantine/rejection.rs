//! Whether a request is sent although its prompt may crash backend servers.

use std::time::Duration;

use crate::codec;

/// How a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// No segment of its prompt is quarantined.
    Normal,
    /// It shows whether a quarantined segment still crashes backend servers.
    Trial,
}

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The segment that crashed backend servers.
    pub segment: codec::SegmentId,
    /// Number of crashes that count against it.
    pub crashes: usize,
    /// Time until a request with it may be sent again.
    pub time_left: Duration,
    /// Whether this is the first request that is rejected for the segment here.
    pub is_first: bool,
}
