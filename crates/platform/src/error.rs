//! How a call to the platform can fail.

use azuregap_core::code;
use quick_error::quick_error;

quick_error! {
    /// Why a call to the platform gave no result.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PlatformError {
        /// The call certainly had no effect: it was refused or never reached the platform.
        Refused(reason: String) {
            display("{}: the platform refused: {}", code::Code::OrderRefused.number(), reason)
        }
        /// No answer came; the call may or may not have had its effect.
        Unknown(reason: String) {
            display("{}: no answer from the platform: {}", code::Code::StoreUnavailable.number(), reason)
        }
    }
}

/// Result of a call to the platform.
pub type PlatformResult<T> = Result<T, PlatformError>;

/// The answer was of another kind than the call asks for.
pub(crate) fn unexpected() -> PlatformError {
    PlatformError::Unknown("an answer of another kind".to_owned())
}
