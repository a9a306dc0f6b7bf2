//! Scenario measures for the policy, with regression bounds, and slopes for the capacity page.
//!
//! The measures run the decisions of `azuregap-policy` in virtual time against a small model of
//! backend servers ([`model`]), for both deployments at their sizes ([`deployment`]). Every figure
//! is a function of the seed.
//!
//! ```
//! use azuregap_bench::deployment;
//! use azuregap_bench::scenario;
//! use azuregap_bench::system;
//!
//! let swan = deployment::swan_coastal();
//! let result = scenario::run(&swan, scenario::Scenario::Normal, system::System::OURS, 1);
//! assert!(result.wasted_share < 0.02);
//! ```

pub mod bounds;
pub mod deployment;
pub mod discipline;
pub mod measure;
pub mod model;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod slopes;
pub mod system;
pub mod workload;
