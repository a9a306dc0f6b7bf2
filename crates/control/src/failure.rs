//! Errors of operator requests.

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_platform::error;
use quick_error::quick_error;

quick_error! {
    /// Why an operator request failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Failure {
        /// The operator key is missing or unknown.
        Denied {
            display("the operator key is missing or unknown")
        }
        /// The document is invalid.
        Invalid(faults: Vec<intent::Fault>) {
            display("{} faults, the first at '{}'", faults.len(), first_path(faults))
        }
        /// A name does not refer to anything declared.
        NameUnknown(name: String) {
            display("'{}' is not known", name)
        }
        /// Another process holds the control lease.
        NotHolder(holder: ids::NodeId) {
            display("this entry is not in charge, ask '{}'", holder)
        }
        /// No plan has this id.
        PlanUnknown(id: ids::PlanId) {
            display("no plan '{}'", id)
        }
        /// The plan can no longer be confirmed.
        PlanExpired(id: ids::PlanId) {
            display("plan '{}' has expired", id)
        }
        /// Another declared intent was accepted after the plan was created.
        Conflict(conflict: Conflict) {
            display(
                "{} changed {} in version {}, after this plan was made from version {}",
                conflict.by, conflict.changes.join(", "), conflict.version, conflict.base
            )
        }
        /// The table service returned no result; nothing was changed.
        Unavailable(reason: String) {
            display("nothing was changed: {}", reason)
        }
        /// The table service returned no result; the change may have been applied.
        OutcomeUnknown(reason: String) {
            display("the change may have been made, send the same request again: {}", reason)
        }
    }
}

/// The change that was accepted after a plan was created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// Configuration version that the plan is based on.
    pub base: ids::Version,
    /// Configuration version that the other change created.
    pub version: ids::Version,
    /// Operator who made the other change.
    pub by: String,
    /// Paths that the other change modified.
    pub changes: Vec<String>,
}

impl Failure {
    /// The numbered code.
    #[must_use]
    pub fn code(&self) -> code::Code {
        match self {
            Self::Denied => code::Code::OperatorDenied,
            Self::Invalid(faults) => {
                faults.first().map_or(code::Code::JsonInvalid, |fault| fault.code)
            }
            Self::NameUnknown(_) => code::Code::NameUnknown,
            Self::NotHolder(_) => code::Code::NotHolder,
            Self::PlanUnknown(_) => code::Code::PlanUnknown,
            Self::PlanExpired(_) => code::Code::PlanExpired,
            Self::Conflict(_) => code::Code::PlanConflict,
            Self::Unavailable(_) | Self::OutcomeUnknown(_) => code::Code::StoreUnavailable,
        }
    }

    /// Wraps the error of a call that changed nothing.
    #[must_use]
    pub fn unavailable(error: error::PlatformError) -> Self {
        Self::Unavailable(error.to_string())
    }
}

fn first_path(faults: &[intent::Fault]) -> &str {
    faults.first().map_or("", |fault| fault.path.as_str())
}
