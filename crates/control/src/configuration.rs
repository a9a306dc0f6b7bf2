//! Keeps the configuration in force at this process.

mod row;
mod service;
mod source;

pub use row::CURRENT;
pub use row::ConfigurationRow;
pub use service::service;
pub use source::Source;
