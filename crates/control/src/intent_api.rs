//! The HTTP interface for operators: plans, the intent in force, keys, orders, status and usage.
//!
//! Every call carries `Authorization: Bearer KEY` with an operator key; only digests of these
//! keys are in the settings. An error is JSON with `code` (the numbered code), `message`, and
//! what belongs to the code: `faults`, or `version`, `by` and `changes` of a conflict.

mod auth;
mod response;
mod routes;
mod service;
mod state;
mod views;

pub use service::service;
pub use views::AgentView;
pub use views::GrantKeyRequest;
pub use views::IntentView;
pub use views::Status;
pub use views::VersionView;
