//! What backend servers of a service tolerate after they have started.

use std::time::Duration;

/// What backend servers of a service tolerate after they have started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// How long they stay cold.
    pub duration: Duration,
    /// Requests per second that they tolerate until then, from all gateways together; positive.
    pub pace: f64,
}
