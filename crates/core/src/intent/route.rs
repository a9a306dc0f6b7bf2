//! Routes from caller paths to pools.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// Which requests go to which pool, under which class.
///
/// [`super::Intent::model_route`] and [`super::Intent::plain_route`] say how a request finds its
/// route.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name, used in logs and usage.
    pub name: String,
    /// Path prefix; the longest that matches wins. `/v1/` is kept for models.
    pub prefix: String,
    /// Methods the route takes; empty means all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The pool. For a model route it is the model that callers name.
    pub pool: ids::PoolId,
    /// The class.
    pub class: ids::ClassId,
    /// Whether callers need no key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may be run more than once.
    pub idempotent: bool,
    /// Whether an `Idempotency-Key` is compulsory.
    #[serde(default)]
    pub require_key: bool,
    /// Largest body taken, in bytes.
    pub max_body: usize,
}
