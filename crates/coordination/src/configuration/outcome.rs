//! What became of a change.

use crate::configuration;
use crate::ids;

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was accepted, now or earlier, as this version.
    Accepted(ids::Version),
    /// It was not accepted.
    Conflict(configuration::Conflict),
    /// The table service gave no result and the change certainly was not accepted.
    Unavailable,
    /// It may have been accepted; the same change may be proposed again, which has one effect.
    /// Until it is settled this process must not vouch for its version.
    Unknown,
}
