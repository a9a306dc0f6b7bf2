//! Route selection for a request.

use super::Intent;
use super::PoolKind;
use super::Route;

impl Intent {
    /// Selects the route of a request to a model: among the routes with this path and model, the
    /// one with the requested `class`, or else the first in the document.
    ///
    /// [`Intent::check`] allows no two routes with the same path, model and class, so the
    /// selection by class does not depend on the order of the routes.
    #[must_use]
    pub fn model_route(&self, path: &str, model: &str, class: Option<&str>) -> Option<&Route> {
        let matches = |route: &&Route| route.prefix == path && route.pool == model;
        let requested = class.and_then(|class| {
            self.routes.iter().filter(matches).find(|route| route.class == class)
        });
        requested.or_else(|| self.routes.iter().find(matches))
    }

    /// Selects the route of a request to a plain service: among the routes that allow `method`,
    /// the one whose prefix matches the most of `path` in whole segments.
    #[must_use]
    pub fn plain_route(&self, path: &str, method: &str) -> Option<&Route> {
        let plain = |route: &&Route| {
            self.pool(&route.pool).is_some_and(|pool| pool.kind == PoolKind::Plain)
        };
        let matches = |route: &&Route| route.matches_path(path) && route.allows_method(method);
        let routes = self.routes.iter().filter(plain).filter(matches);
        routes.max_by_key(|route| route.prefix.trim_end_matches('/').len())
    }
}

impl Route {
    /// Returns whether `path` is equal to the prefix or is below it.
    #[must_use]
    pub fn matches_path(&self, path: &str) -> bool {
        let rest = path.strip_prefix(self.prefix.trim_end_matches('/'));
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Returns whether the route allows `method`.
    #[must_use]
    pub fn allows_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|allowed| allowed == method)
    }
}
