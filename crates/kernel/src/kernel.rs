//! Starts and stops services in dependency order.

use crate::error;
use crate::registry;
use crate::service;

/// The services of a process.
#[derive(Debug, Default)]
pub struct Kernel {
    registry: registry::Registry,
    pending: Vec<service::Service>,
    started: Vec<service::Service>,
}

impl Kernel {
    /// Creates a kernel without services.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: service::Service) -> Self {
        self.pending.push(service);
        self
    }

    /// Returns the registry that the services share.
    #[must_use]
    pub const fn registry(&self) -> &registry::Registry {
        &self.registry
    }

    /// Starts every service after its dependencies; on an error, stops the started services.
    ///
    /// # Errors
    ///
    /// Returns [`error::KernelError`] if dependencies cannot be satisfied or a service fails to
    /// start.
    pub async fn start(&mut self) -> error::KernelResult<()> {
        while !self.pending.is_empty() {
            if let Err(error) = self.start_next().await {
                self.stop().await;
                return Err(error);
            }
        }
        Ok(())
    }

    /// Stops the started services in reverse order.
    pub async fn stop(&mut self) {
        while let Some(mut service) = self.started.pop() {
            tracing::info!(service = service.name, "stopping");
            if let Some(stop) = service.stop.take() {
                stop(self.registry.clone()).await;
            }
        }
    }

    async fn start_next(&mut self) -> error::KernelResult<()> {
        let started = &self.started;
        let ready = |service: &service::Service| {
            let is_started = |name: &String| started.iter().any(|other| other.name == *name);
            service.dependencies.iter().all(is_started)
        };
        let Some(next) = self.pending.iter().position(ready) else {
            let names: Vec<_> = self.pending.iter().map(|service| service.name.as_str()).collect();
            return Err(error::KernelError::UnmetDependencies(names.join(", ")));
        };
        let mut service = self.pending.remove(next);
        tracing::info!(service = service.name, "starting");
        let start = service.start.take();
        let name = service.name.clone();
        self.started.push(service);
        match start {
            Some(start) => start(self.registry.clone()).await.map_err(|error| match error {
                error::KernelError::StartFailed(..) => error,
                other => error::KernelError::StartFailed(name, other.to_string()),
            }),
            None => Ok(()),
        }
    }
}
