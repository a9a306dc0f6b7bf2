//! Which route a request takes.

use super::Intent;
use super::PoolKind;
use super::Route;

impl Intent {
    /// The route of a request to a model: the one of `class` if the caller names a class that a
    /// route of this path and model has, else the first in the document.
    ///
    /// [`Intent::check`] lets no two routes of one path and model share a class, so that the
    /// choice never hangs on the order of routes that a caller tells apart.
    #[must_use]
    pub fn model_route(&self, path: &str, model: &str, class: Option<&str>) -> Option<&Route> {
        let fits = |route: &&Route| route.prefix == path && route.pool == model;
        let named = class
            .and_then(|class| self.routes.iter().filter(fits).find(|route| route.class == class));
        named.or_else(|| self.routes.iter().find(fits))
    }

    /// The route of a request to a plain service: the longest prefix that covers whole segments
    /// of `path`, among the routes that take `method`.
    #[must_use]
    pub fn plain_route(&self, path: &str, method: &str) -> Option<&Route> {
        let plain = |route: &&Route| {
            self.pool(&route.pool).is_some_and(|pool| pool.kind == PoolKind::Plain)
        };
        let fits = |route: &&Route| route.matches_path(path) && route.allows_method(method);
        let routes = self.routes.iter().filter(plain).filter(fits);
        routes.max_by_key(|route| route.prefix.trim_end_matches('/').len())
    }
}

impl Route {
    /// Whether `path` is the prefix or lies below it.
    #[must_use]
    pub fn matches_path(&self, path: &str) -> bool {
        let rest = path.strip_prefix(self.prefix.trim_end_matches('/'));
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Whether the route takes `method`.
    #[must_use]
    pub fn allows_method(&self, method: &str) -> bool {
        self.methods.is_empty() || self.methods.iter().any(|own| own == method)
    }
}
