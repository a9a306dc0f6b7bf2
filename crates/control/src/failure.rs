//! Why an operator's request was not carried out.

use azuregap_core::code;
use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_platform::error;
use quick_error::quick_error;

quick_error! {
    /// Why an operator's request was not carried out.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum Failure {
        /// The operator key is missing or unknown.
        Denied {
            display("the operator key is missing or unknown")
        }
        /// The document has faults.
        Invalid(faults: Vec<intent::Fault>) {
            display("{} faults, the first at '{}'", faults.len(), first_path(faults))
        }
        /// A name refers to nothing.
        NameUnknown(name: String) {
            display("'{}' is not known", name)
        }
        /// Another process is in charge.
        NotHolder(holder: ids::NodeId) {
            display("this entry is not in charge, ask '{}'", holder)
        }
        /// No such plan.
        PlanUnknown(id: ids::PlanId) {
            display("no plan '{}'", id)
        }
        /// The plan is too old.
        PlanExpired(id: ids::PlanId) {
            display("plan '{}' has expired", id)
        }
        /// Another change was accepted since the plan was made.
        Conflict(conflict: Conflict) {
            display(
                "{} changed {} in version {}, after this plan was made from version {}",
                conflict.by, conflict.changes.join(", "), conflict.version, conflict.base
            )
        }
        /// The table service gave no result; nothing was changed.
        Unavailable(reason: String) {
            display("nothing was changed: {}", reason)
        }
        /// The table service gave no result; the change may have been made.
        OutcomeUnknown(reason: String) {
            display("the change may have been made, send the same request again: {}", reason)
        }
    }
}

/// What was accepted since a plan was made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The version the plan was made from.
    pub base: ids::Version,
    /// The version of the other change.
    pub version: ids::Version,
    /// Who made it.
    pub by: String,
    /// What it changed, one path each.
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

    /// A failure of a call that changes nothing.
    #[must_use]
    pub fn unavailable(error: error::PlatformError) -> Self {
        Self::Unavailable(error.to_string())
    }
}

fn first_path(faults: &[intent::Fault]) -> &str {
    faults.first().map_or("", |fault| fault.path.as_str())
}
