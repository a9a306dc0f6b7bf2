//! How much a finding matters.

/// How much a finding matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The configuration is refused, or acts otherwise than it says.
    Error,
    /// A part of it has no effect.
    Warning,
}

impl Severity {
    /// Name in the output.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warning => "warning",
        }
    }
}
