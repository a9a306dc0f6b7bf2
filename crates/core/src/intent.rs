//! Configuration declared by operators: classes, teams, keys, pools, routes and the spending
//! limits of the availability zones.
//!
//! An [`Intent`] is the payload of a configuration version. It is plain data;
//! [`Intent::check`] validates a new intent.

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

/// The complete configuration declared by operators, in a single document.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Intent {
    /// Request classes with their latency targets.
    pub classes: Vec<Class>,
    /// Teams with their weights and limits.
    pub teams: Vec<Team>,
    /// Digests of the keys issued to teams.
    #[serde(default)]
    pub keys: Vec<KeyGrant>,
    /// Models and plain services.
    pub pools: Vec<Pool>,
    /// Routes from request paths to pools and classes.
    pub routes: Vec<Route>,
    /// Availability zones with their spending limits and prices.
    pub zones: Vec<Zone>,
    /// Backend servers that are being drained and accept no new work.
    #[serde(default)]
    pub leaving: Vec<ids::BackendId>,
}

impl Intent {
    /// Looks up a class by name.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// Looks up a team by name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Team> {
        self.teams.iter().find(|team| team.name == name)
    }

    /// Looks up a pool by name.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }

    /// Returns whether `backend` is being drained.
    #[must_use]
    pub fn is_leaving(&self, backend: &str) -> bool {
        self.leaving.iter().any(|name| name == backend)
    }
}
