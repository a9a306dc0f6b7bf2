//! Keeps the active configuration of this process up to date and applies changes to it.

mod answers;
mod follower;
mod list;
mod merge;
mod readers;
mod row;
mod service;
mod source;
mod unresolved;

pub use follower::Follower;
pub use merge::changes;
pub use merge::merge;
pub use row::CURRENT;
pub use row::ConfigurationRow;
pub use row::Declared;
pub use service::service;
pub use source::Source;
pub use source::Stored;
pub use unresolved::PendingChange;
pub use unresolved::UnresolvedChanges;
