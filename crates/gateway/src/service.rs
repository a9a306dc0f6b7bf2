//! Background tasks of a gateway, beside serving requests.

mod backends;
mod configuration;
mod endpoints;
mod gateway_list;
mod gossip;
mod limit_rows;
mod quarantine_rows;
mod registration;
mod transfer;
mod usage;
mod usage_reporter;
mod usage_rows;
mod watcher;
mod zone_rows;

pub use backends::watch as watch_backends;
pub use configuration::watch as watch_configuration;
pub use endpoints::Endpoint;
pub use endpoints::serve as serve_endpoint;
pub use gossip::run as run_gossip;
pub use usage::run as run_usage_reporting;
pub use usage_reporter::ReportError;
pub use usage_reporter::UsageReporter;
