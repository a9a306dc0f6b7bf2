//! Which agents this process knows, from the VM list and from greetings.

mod roster;
mod service;

pub use roster::Roster;
pub use service::service;
