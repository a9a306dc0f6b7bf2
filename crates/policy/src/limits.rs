//! Rate and concurrency limits per team, enforced across all entries without shared storage.
//!
//! Each of `n` live entries enforces its share: the limit divided by `n`, plus a tenth of the
//! limit for a team whose requests arrive unevenly. If `m` entries serve requests while each of
//! them counts `n`, a team gets at most
//!
//! - rate: `limit * (m / n + m / 10)` requests per second in the long term, plus a burst of one
//!   second's worth of it;
//! - concurrency: `m * (ceil(limit / n) + ceil(limit / 10))` concurrent requests.
//!
//! A team gets at least `limit / n` if all its requests arrive at one entry. With three entries
//! that know of each other the excess is thus at most three tenths of the limit, plus fewer than
//! three requests from rounding up. It is larger only while new entries are not yet known to the
//! others. A team's burst builds up over the first second of an entry, so restarts add none.

mod bucket;
mod limiter;
mod team;

pub use limiter::TeamLimiter;
pub use team::TeamLimit;
