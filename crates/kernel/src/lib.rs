//! Micro-kernel that starts the services of a process in dependency order and stops them
//! gracefully.
//!
//! A service has a name, the names of its dependencies, and start and stop functions.
//! [`kernel::Kernel::start`] starts each service after its dependencies, and
//! [`kernel::Kernel::stop`] stops the services in reverse order. A service makes a typed handle,
//! such as an `actix::Addr` or an `Arc`, available to other services by adding it to the
//! [`registry::Registry`] under its own name.
//!
//! ```
//! use azuregap_kernel::kernel;
//! use azuregap_kernel::service;
//!
//! # actix_rt::System::new().block_on(async {
//! let mut kernel = kernel::Kernel::new()
//!     .service(service::Service::new("hello").depends_on(["name"]).start(|registry| async move {
//!         let name = registry.find::<String>("name")?;
//!         registry.register("hello", format!("hello, {name}"));
//!         Ok(())
//!     }))
//!     .service(service::Service::new("name").start(|registry| async move {
//!         registry.register("name", "caller".to_owned());
//!         Ok(())
//!     }));
//! kernel.start().await.unwrap();
//! assert_eq!(*kernel.registry().find::<String>("hello").unwrap(), "hello, caller");
//! kernel.stop().await;
//! # });
//! ```

pub mod error;
pub mod kernel;
pub mod registry;
pub mod service;
