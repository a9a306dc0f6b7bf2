//! The services of an entry, put together.

use azuregap_control::directory;
use azuregap_control::process;
use azuregap_control::snapshot;
use azuregap_core::settings;
use azuregap_kernel::error;
use azuregap_kernel::kernel;
use azuregap_kernel::registry;
use azuregap_kernel::service;
use azuregap_wire::control;

use crate::balance;
use crate::dispatch;
use crate::http;

/// Name of the service that listens for callers.
const CALLERS: &str = "callers";

/// A kernel with every service of an entry, not started yet.
#[must_use]
pub fn kernel(settings: &settings::EntrySettings) -> kernel::Kernel {
    let role = control::Role::Entry;
    let process = process::Process::new(&settings.node, &settings.zone, settings.control, role);
    kernel::Kernel::new()
        .service(azuregap_control::mailbox::service(process.clone()))
        .service(azuregap_control::configuration::service(process.clone(), &settings.platform))
        .service(azuregap_control::membership::service(process, &settings.platform))
        .service(callers_service(settings.clone()))
}

fn callers_service(settings: settings::EntrySettings) -> service::Service {
    let start = move |registry: registry::Registry| async move {
        let shared = dispatch::Shared {
            node: settings.node.clone(),
            configuration: (*registry.find::<snapshot::Handle>(snapshot::Handle::NAME)?).clone(),
            directory: (*registry.find::<directory::Directory>(directory::Directory::NAME)?)
                .clone(),
            balance: balance::Balance::default(),
            silence: settings.silence,
        };
        let server = http::serve(shared, settings.listen, settings.workers, settings.max_stale)
            .map_err(|error| error::KernelError::Failed(CALLERS.to_owned(), error.to_string()))?;
        registry.offer(CALLERS, server.handle());
        actix_rt::spawn(server);
        Ok(())
    };
    let stop = |registry: registry::Registry| async move {
        if let Ok(server) = registry.find::<actix_web::dev::ServerHandle>(CALLERS) {
            server.stop(true).await;
        }
    };
    service::Service::new(CALLERS)
        .needs([snapshot::Handle::NAME, "membership"])
        .start(start)
        .stop(stop)
}
