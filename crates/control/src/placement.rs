//! Reconciles the running backend servers with the configuration, on the lease holder.
//!
//! Every round reads the configuration, the orders and the VM list, computes a plan, and stores
//! and sends the orders that are ready. A backend server that is no longer needed is first marked
//! as leaving in the configuration; it is stopped once its agent has that configuration and
//! reports no work and no unflushed usage records.

mod absence;
mod demand;
mod drain;
mod leaving;
mod reconciler;
mod service;

pub use demand::DemandTracker;
pub use drain::DrainState;
pub use drain::DrainTracker;
pub use reconciler::Reconciler;
pub use service::service;
