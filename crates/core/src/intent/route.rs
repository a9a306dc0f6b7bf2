//! Routes from request paths to pools.

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// Assigns requests to a pool and a class.
///
/// [`super::Intent::model_route`] and [`super::Intent::plain_route`] select the route of a
/// request.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name, used in logs and usage records.
    pub name: String,
    /// Path prefix; the longest match wins. `/v1/` is reserved for models.
    pub prefix: String,
    /// Allowed methods; empty allows all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Pool that serves the requests; for a model route, the name of the model.
    pub pool: ids::PoolId,
    /// Class of the requests.
    pub class: ids::ClassId,
    /// Whether callers may omit the key.
    #[serde(default)]
    pub open: bool,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Whether the `Idempotency-Key` header is required.
    #[serde(default)]
    pub require_key: bool,
    /// Maximum body size, in bytes.
    pub max_body: usize,
}
