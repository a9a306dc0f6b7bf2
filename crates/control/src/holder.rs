//! Leader election among entries through a lease row in the table service.
//!
//! Actions that are reserved for the lease holder go through [`LeaseHandle`]. Rows are written in a
//! transaction that checks the lease row ([`LeaseHandle::commit`]). Calls to other services go
//! through [`LeaseHandle::send`], which checks the lease before each step of the call and limits
//! the call to a short deadline.

mod fence;
mod handle;
mod keep;
mod service;

pub use fence::read_fence;
pub use handle::LeaseHandle;
pub use keep::keep;
pub use service::service;
