//! What a check of a configuration finds.

use azuregap_core::code;

use super::severity;

/// Something in a configuration that is wrong or has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Path of the field, in the names of the document.
    pub path: String,
    /// Value of the field; keys are not shown.
    pub value: String,
    /// Result code.
    pub code: code::Code,
    /// How much it matters.
    pub severity: severity::Severity,
    /// What is expected, and what happens otherwise.
    pub expected: String,
}
