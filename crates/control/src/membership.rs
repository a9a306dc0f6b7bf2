//! Discovery of agents through the VM list and greetings.

mod roster;
mod service;

pub use roster::Roster;
pub use service::service;
