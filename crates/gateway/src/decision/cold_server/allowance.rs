//! What all gateways together send to a cold backend server.

/// What all gateways together send to a cold backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Gateways that send to it, each an equal share; the others send it nothing.
    pub holders: usize,
    /// Requests per second, from all holders.
    pub pace: f64,
}
