//! The process in charge brings the backend servers in line with the configuration.
//!
//! Every round it reads the configuration, the orders and the VM list, asks the planner, and
//! writes and sends what is ready. A backend server that is not needed is marked leaving in the
//! configuration first; it is stopped when its agent knows that and reports no work and no usage
//! left to write.

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
