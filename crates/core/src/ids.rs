//! Type aliases for the identifiers that several packages share.

/// Name of a request class, for example `summary`.
pub type ClassId = String;

/// Name of a team, the tenant that is billed.
pub type TeamId = String;

/// Name of a model or plain service, and of the pool of backend servers that serves it.
pub type PoolId = String;

/// Name of an availability zone, for example `perth-north`.
pub type ZoneId = String;

/// Name of a region: availability zones between which data may be kept and processed alike.
pub type RegionId = String;

/// Name of a backend server; unchanged when its agent restarts.
pub type BackendId = String;

/// Name of a process: an entry or the agent of a backend server.
pub type NodeId = String;

/// Random number drawn at process start, which tells restarts of a process apart.
pub type Incarnation = u64;

/// Identifies a caller's request; unchanged across its attempts.
pub type RequestId = u128;

/// Configuration version; increases monotonically.
pub type Version = u64;

/// Fencing token of a lease; increases with every change of holder.
pub type Fence = u64;

/// Identifies a plan created by the intent API.
pub type PlanId = String;

/// Identifies an order to the platform; unchanged when the order is resent.
pub type OrderId = String;

/// Amount of money in millionths of the billing currency unit.
pub type CurrencyMicros = u64;

/// Service tier: 0 has the highest priority, larger numbers are lower tiers.
pub type Tier = u8;
