//! What a gateway does beside serving requests.

mod backends;
mod configuration;
mod duty;
mod follow;
mod gossip;
mod ready;

pub use backends::follow as follow_backends;
pub use configuration::follow as follow_configuration;
pub use duty::Report;
pub use duty::ReportError;
pub use duty::run as run_duty;
pub use gossip::run as run_gossip;
pub use ready::Door;
pub use ready::serve as serve_door;
