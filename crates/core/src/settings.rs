//! JSON settings of the two process roles, entry and agent.

mod agent;
mod check;
mod entry;
mod load;
mod platform;

pub use agent::AgentSettings;
pub use check::Deployment;
pub use entry::EntrySettings;
pub use entry::OperatorKey;
pub use load::LoadError;
pub use load::from_text;
pub use platform::PlatformSettings;
