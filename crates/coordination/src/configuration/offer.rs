//! What became of an offered version.

/// What became of an offered version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is in force now.
    Newer,
    /// It was in force already.
    Same,
    /// A higher version is in force; it was dropped.
    Older,
}
