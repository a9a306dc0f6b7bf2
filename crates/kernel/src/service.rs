//! A service: a name, what it needs, a start and a stop.

use std::fmt;

use futures::future;
use futures::future::FutureExt as _;

use crate::error;
use crate::registry;

type Start =
    Box<dyn FnOnce(registry::Registry) -> future::LocalBoxFuture<'static, error::KernelResult<()>>>;
type Stop = Box<dyn FnOnce(registry::Registry) -> future::LocalBoxFuture<'static, ()>>;

/// A service as the kernel sees it.
pub struct Service {
    pub(crate) name: String,
    pub(crate) needs: Vec<String>,
    pub(crate) start: Option<Start>,
    pub(crate) stop: Option<Stop>,
}

impl fmt::Debug for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service").field("name", &self.name).field("needs", &self.needs).finish()
    }
}

impl Service {
    /// A service that does nothing yet.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self { name: name.into(), needs: Vec::new(), start: None, stop: None }
    }

    /// Names of the services that must be started before.
    #[must_use]
    pub fn depends_on(mut self, names: impl IntoIterator<Item = impl Into<String>>) -> Self {
        self.needs.extend(names.into_iter().map(Into::into));
        self
    }

    /// What starts the service.
    #[must_use]
    pub fn start<F>(mut self, start: impl FnOnce(registry::Registry) -> F + 'static) -> Self
    where
        F: Future<Output = error::KernelResult<()>> + 'static,
    {
        self.start = Some(Box::new(move |registry| start(registry).boxed_local()));
        self
    }

    /// What stops the service; it returns when the service has finished its work.
    #[must_use]
    pub fn stop<F>(mut self, stop: impl FnOnce(registry::Registry) -> F + 'static) -> Self
    where
        F: Future<Output = ()> + 'static,
    {
        self.stop = Some(Box::new(move |registry| stop(registry).boxed_local()));
        self
    }
}
