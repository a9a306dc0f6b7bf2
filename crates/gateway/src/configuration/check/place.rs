//! Where in a configuration something was found.

use super::entry;
use super::field;

/// A field of one entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The entry.
    pub entry: entry::Entry,
    /// Its field.
    pub field: field::Field,
}
