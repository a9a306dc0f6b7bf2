//! Type aliases for the ids that cross package borders.

/// Name of a class of work, for example `summary`.
pub type ClassId = String;

/// Name of a team; a team is the tenant that is billed.
pub type TeamId = String;

/// Name of a model or of a plain service: the pool of backend servers that can serve a route.
pub type PoolId = String;

/// Name of an availability zone, for example `perth-north`.
pub type ZoneId = String;

/// Name of a backend server. It outlives restarts of the agent beside it.
pub type BackendId = String;

/// Name of a process: an entry or the agent beside a backend server.
pub type NodeId = String;

/// Tells one start of a process from the next; drawn at random at every start.
pub type Incarnation = u64;

/// Id of one caller request, the same over all its attempts.
pub type RequestId = u128;

/// Version of the configuration; it only grows.
pub type Version = u64;

/// Fencing number of a lease; it grows with every change of holder.
pub type Fence = u64;

/// Id of a plan made by the intent API.
pub type PlanId = String;

/// Id of an order to the platform, the same over all its resends.
pub type OrderId = String;

/// Money in millionths of the billing currency's unit.
pub type CurrencyMicros = u64;

/// Service tier: 0 is served first, larger numbers are lower tiers.
pub type Tier = u8;
