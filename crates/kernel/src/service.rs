//! Definition of a service.

use std::fmt;

use futures::future;
use futures::future::FutureExt as _;

use crate::error;
use crate::registry;

type Start =
    Box<dyn FnOnce(registry::Registry) -> future::LocalBoxFuture<'static, error::KernelResult<()>>>;
type Stop = Box<dyn FnOnce(registry::Registry) -> future::LocalBoxFuture<'static, ()>>;

/// A named service with its dependencies and its start and stop functions.
pub struct Service {
    pub(crate) name: String,
    pub(crate) dependencies: Vec<String>,
    pub(crate) start: Option<Start>,
    pub(crate) stop: Option<Stop>,
}

impl fmt::Debug for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service")
            .field("name", &self.name)
            .field("dependencies", &self.dependencies)
            .finish()
    }
}

impl Service {
    /// Creates a service without dependencies and without start and stop functions.
    #[must_use]
    pub fn new(name: impl Into<String>) -> Self {
        Self { name: name.into(), dependencies: Vec::new(), start: None, stop: None }
    }

    /// Adds the names of services that must be started before this one.
    #[must_use]
    pub fn depends_on(mut self, names: impl IntoIterator<Item = impl Into<String>>) -> Self {
        self.dependencies.extend(names.into_iter().map(Into::into));
        self
    }

    /// Sets the function that starts the service.
    #[must_use]
    pub fn start<F>(mut self, start: impl FnOnce(registry::Registry) -> F + 'static) -> Self
    where
        F: Future<Output = error::KernelResult<()>> + 'static,
    {
        self.start = Some(Box::new(move |registry| start(registry).boxed_local()));
        self
    }

    /// Sets the function that stops the service; its future resolves when the service has finished
    /// its work.
    #[must_use]
    pub fn stop<F>(mut self, stop: impl FnOnce(registry::Registry) -> F + 'static) -> Self
    where
        F: Future<Output = ()> + 'static,
    {
        self.stop = Some(Box::new(move |registry| stop(registry).boxed_local()));
        self
    }
}
