//! What operators declare: classes, teams, keys, pools, routes and spend by availability zone.
//!
//! An [`Intent`] is the payload of one configuration version. It is plain data; the checks that
//! a new intent must pass are in [`Intent::check`].

mod check;
mod class;
mod fault;
mod matching;
mod pool;
mod route;
mod team;
mod zone;

use serde::Deserialize;
use serde::Serialize;

pub use check::MAX_BODY;
pub use check::MODEL_PATHS;
pub use class::Class;
pub use fault::Fault;
pub use pool::Pool;
pub use pool::PoolKind;
pub use route::Route;
pub use team::KeyGrant;
pub use team::Team;
pub use zone::Zone;

use crate::ids;

/// Everything operators declare, as one document.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Classes of work with their targets.
    pub classes: Vec<Class>,
    /// Teams with their weights and limits.
    pub teams: Vec<Team>,
    /// Keys given to teams, as digests.
    #[serde(default)]
    pub keys: Vec<KeyGrant>,
    /// Models and plain services.
    pub pools: Vec<Pool>,
    /// Which path leads to which pool and class.
    pub routes: Vec<Route>,
    /// Availability zones with their spend and prices.
    pub zones: Vec<Zone>,
    /// Backend servers that take no new work.
    #[serde(default)]
    pub leaving: Vec<ids::BackendId>,
}

impl Intent {
    /// The class called `name`.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The team called `name`.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// The pool called `name`.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Whether `backend` was told to leave.
    #[must_use]
    pub fn is_leaving(&self, backend: &str) -> bool {
        self.leaving.iter().any(|name| name == backend)
    }
}
