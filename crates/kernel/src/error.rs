//! Errors of the kernel.

use quick_error::quick_error;

quick_error! {
    /// Error when starting services or looking up a handle.
    #[derive(Debug)]
    pub enum KernelError {
        /// No handle is registered under this name.
        Missing(name: String) {
            display("no service is registered as '{}': add it or start it earlier", name)
        }
        /// The handle has another type than requested.
        WrongType(name: String) {
            display("'{}' is registered with another type", name)
        }
        /// The dependencies of these services form a cycle or include a missing service.
        UnmetDependencies(names: String) {
            display(
                "cannot order the services {}: remove the cycle or add the missing dependencies",
                names
            )
        }
        /// The service failed to start.
        StartFailed(name: String, reason: String) {
            display("service '{}' failed to start: {}", name, reason)
        }
    }
}

/// Result of a kernel call.
pub type KernelResult<T> = Result<T, KernelError>;
