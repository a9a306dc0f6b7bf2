//! Micro-kernel: services that find each other by name, started in order and stopped gracefully.
//!
//! A service is a name, the names it needs, a start and a stop. [`kernel::Kernel::start`] starts services
//! after what they need, [`kernel::Kernel::stop`] stops them in the opposite order. What a service offers
//! to others it puts into the [`registry::Registry`] under its name; a typed handle such as an
//! `actix::Addr` or an `Arc` will do.
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
