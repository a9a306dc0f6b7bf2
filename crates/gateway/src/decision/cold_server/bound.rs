//! How far the pace that a cold backend server tolerates may be exceeded.

use super::allowance;

/// Time for which a place that was taken may be used. Requests of any second have taken their places
/// in that second or so long before it.
pub const PLACE_VALIDITY: std::time::Duration = std::time::Duration::from_millis(100);

/// Gateways that send to one cold backend server, at most.
const MAX_HOLDERS: usize = 3;

/// How far the pace that a cold backend server tolerates may be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Factor by which the pace may be exceeded in any second.
    pub overrun: f64,
    /// Requests beyond that in any second.
    pub slack: f64,
}

impl Bound {
    /// What all gateways together may send to a cold backend server that tolerates `pace` requests per
    /// second: that pace, if there is room beside it for the places that the holders have saved up.
    #[must_use]
    pub fn allowance(self, pace: f64) -> allowance::Allowance {
        let span = (super::WINDOW + PLACE_VALIDITY).as_secs_f64();
        let total = pace * self.overrun + self.slack;
        if total.is_nan() || total < 1.0 {
            return allowance::Allowance { holders: 0, pace };
        }
        let room = total - pace * span;
        if room >= 1.0 {
            return allowance::Allowance { holders: (room as usize).min(MAX_HOLDERS), pace };
        }
        // With less than one request in a span, no second has two.
        let pace = ((total - 1.0) / span).max(0.9 / span).min(pace);
        allowance::Allowance { holders: 1, pace }
    }
}
