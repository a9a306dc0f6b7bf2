//! Which entry is in charge: a lease row in the table service, kept by every entry.
//!
//! What only the process in charge may do goes through [`LeaseHandle`]: a row is written in a
//! transaction that checks the lease row ([`LeaseHandle::commit`]), and an effect outside the table
//! service is carried by [`LeaseHandle::send`], which looks at the lease before each step of the call
//! and gives the call a short deadline.

mod fence;
mod handle;
mod keep;
mod service;

pub use fence::read_fence;
pub use handle::LeaseHandle;
pub use keep::keep;
pub use service::service;
