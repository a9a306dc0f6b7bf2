//! Decision logic of a gateway. It does no I/O and takes the current time as an argument.

pub mod answered_requests;
pub mod arrival_rate;
pub mod backend_limit;
pub mod cache_source;
pub mod candidacy;
pub mod engine_partition;
pub mod failure;
pub mod freshness;
pub mod gossip_timing;
pub mod health;
pub mod idle_limit;
pub mod median_clock;
pub mod membership;
pub mod placement;
pub mod prefill_speed;
pub mod prefix_cache;
pub mod priority;
pub mod quarantine;
pub mod quiet_period;
pub mod rendezvous;
pub mod report_readiness;
pub mod retry_budget;
pub mod told_version;
pub mod usage_counts;
pub mod waiting_line;
