//! Limits of rate and concurrency for each team, held over all entries without a store.
//!
//! Each of `n` live entries enforces its share: the limit over `n`, and a tenth of the limit on
//! top that a team may use where its requests happen to arrive. With `m` entries in fact serving
//! while each believes in `n`, a team gets at most
//!
//! - rate: `limit * (m / n + m / 10)` requests a second over any long time, and once more one
//!   second's worth of it in a burst;
//! - concurrency: `m * (ceil(limit / n) + ceil(limit / 10))` requests at once.
//!
//! It gets at least `limit / n` if all its requests arrive at one entry. So with three entries that
//! know of each other the excess is at most three tenths of the limit (and less than three requests
//! by rounding up); it is larger only while entries that came are not yet known.

mod bucket;
mod limiter;
mod team;

pub use limiter::TeamLimiter;
pub use team::TeamLimit;
