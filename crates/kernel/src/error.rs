//! Faults of the kernel.

use quick_error::quick_error;

quick_error! {
    /// Why a service could not be started or found.
    #[derive(Debug)]
    pub enum KernelError {
        /// No service offers this name.
        Missing(name: String) {
            display("no service offers '{}': add it or start it earlier", name)
        }
        /// The name is offered with another type.
        WrongType(name: String) {
            display("'{}' is offered with another type", name)
        }
        /// Services need each other in a circle, or need one that is not there.
        UnmetDependencies(names: String) {
            display("cannot order the services {}: remove the circle or add what they need", names)
        }
        /// A service failed to start.
        StartFailed(name: String, reason: String) {
            display("service '{}' did not start: {}", name, reason)
        }
    }
}

/// Result of a kernel call.
pub type KernelResult<T> = Result<T, KernelError>;
