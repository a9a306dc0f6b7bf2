//! Starts and stops services in order.

use crate::error;
use crate::registry;
use crate::service;

/// Holds the services of one process.
#[derive(Debug, Default)]
pub struct Kernel {
    registry: registry::Registry,
    waiting: Vec<service::Service>,
    started: Vec<service::Service>,
}

impl Kernel {
    /// A kernel without services.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a service.
    #[must_use]
    pub fn service(mut self, service: service::Service) -> Self {
        self.waiting.push(service);
        self
    }

    /// The registry the services share.
    #[must_use]
    pub const fn registry(&self) -> &registry::Registry {
        &self.registry
    }

    /// Starts every service after those it needs; on a failure stops what was started.
    ///
    /// # Errors
    ///
    /// [`error::KernelError`] when the order cannot be met or a service fails.
    pub async fn start(&mut self) -> error::KernelResult<()> {
        while !self.waiting.is_empty() {
            if let Err(error) = self.start_next().await {
                self.stop().await;
                return Err(error);
            }
        }
        Ok(())
    }

    /// Stops the started services, the last one first.
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
            service.needs.iter().all(|need| started.iter().any(|other| other.name == *need))
        };
        let Some(next) = self.waiting.iter().position(ready) else {
            let names: Vec<_> = self.waiting.iter().map(|service| service.name.as_str()).collect();
            return Err(error::KernelError::UnmetDependencies(names.join(", ")));
        };
        let mut service = self.waiting.remove(next);
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
