//! Type aliases for identifiers shared by the modules.

/// Name of a process.
pub type NodeId = String;

/// Random number that identifies one run of a process; a new one is drawn at every start.
pub type Incarnation = u64;

/// Name of an availability zone.
pub type ZoneId = String;

/// Name of a team, the tenant to which usage is billed.
pub type TeamId = String;

/// Random id of one attempt at a request.
pub type RequestId = u128;

/// Fencing token of a lease; increases with every change of holder.
pub type FencingToken = u64;

/// Version of the configuration; never decreases.
pub type Version = u64;

/// Era of the table service: rises by one each time the service comes back from a copy and has lost
/// what was written after it; 0 if the service doesn't state it.
pub type Era = u64;

/// Version of a row in the table service; 0 if the row is absent.
pub type RowVersion = u64;

/// Index of a usage window, counted from the epoch.
pub type WindowId = u64;

/// Id of a configuration change; the same for all retries of the change.
pub type ChangeId = String;
