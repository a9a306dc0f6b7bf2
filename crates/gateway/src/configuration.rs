//! The operator's configuration, in the form that the gateway uses.

mod check;
mod cold_start;
mod declared_team;
mod difference;
mod draft;
mod limits;
mod route;
mod service;
mod snapshot;

pub use check::Entry;
pub use check::Field;
pub use check::Finding;
pub use check::Place;
pub use check::Severity;
pub use check::VmMemory;
pub use check::check;
pub use cold_start::ColdStart;
pub use declared_team::DeclaredTeam;
pub use difference::Difference;
pub use difference::compare;
pub use draft::Draft;
pub use limits::Limits;
pub use route::Route;
pub use route::RouteKind;
pub use route::WeightedService;
pub use service::Service;
pub use snapshot::Configuration;
pub use snapshot::Team;
