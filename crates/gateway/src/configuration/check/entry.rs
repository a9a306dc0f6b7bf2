//! Entries of a configuration.

/// An entry of a configuration, by its place among those of its kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// The configuration itself.
    Whole,
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
    /// A team.
    Team(usize),
}
