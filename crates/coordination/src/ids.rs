//! Type aliases for the ids that the parts share.

/// Name of a process.
pub type NodeId = String;

/// Tells one start of a process from the next; drawn at random at every start.
pub type Incarnation = u64;

/// Name of an availability zone.
pub type ZoneId = String;

/// Name of a team; a team is the tenant that is billed.
pub type TeamId = String;

/// Id of one attempt at a request, drawn at random.
pub type RequestId = u128;

/// Fencing number of a lease; it grows with every change of holder.
pub type FencingToken = u64;

/// Version of the configuration; it only grows.
pub type Version = u64;

/// Version of a row in the table service; 0 means that the row is absent.
pub type RowVersion = u64;

/// Number of a usage window since the epoch.
pub type WindowId = u64;

/// Id of a change of the configuration, the same over all its resends.
pub type ChangeId = String;
