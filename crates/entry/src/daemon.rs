//! Assembles the services of an entry.

use azuregap_control::configuration;
use azuregap_control::directory;
use azuregap_control::holder;
use azuregap_control::intent_api;
use azuregap_control::mailbox;
use azuregap_control::membership;
use azuregap_control::metrics;
use azuregap_control::placement;
use azuregap_control::process;
use azuregap_control::reports;
use azuregap_control::snapshot;
use azuregap_control::usage;
use azuregap_core::settings;
use azuregap_kernel::error;
use azuregap_kernel::kernel;
use azuregap_kernel::registry;
use azuregap_kernel::service;
use azuregap_wire::control;

use crate::dispatch;
use crate::http;
use crate::router;

/// Name of the service that runs the caller API.
const CALLERS: &str = "callers";

/// Creates a kernel with every service of an entry, not yet started.
#[must_use]
pub fn kernel(settings: &settings::EntrySettings) -> kernel::Kernel {
    let role = control::Role::Entry;
    let process = process::Process::new(&settings.node, &settings.zone, settings.control, role);
    let (platform, window) = (&settings.platform, settings.window);
    kernel::Kernel::new()
        .service(mailbox::service(process.clone()))
        .service(configuration::service(process.clone(), platform))
        .service(membership::service(process.clone(), platform))
        .service(usage::copies_service(process.clone(), platform, window))
        .service(holder::service(process, platform))
        .service(placement::service(platform))
        .service(reports::service(platform, window))
        .service(intent_api::service(settings))
        .service(callers_service(settings.clone()))
}

fn callers_service(settings: settings::EntrySettings) -> service::Service {
    let start = move |registry: registry::Registry| async move {
        let context = dispatch::EntryContext {
            node: settings.node.clone(),
            configuration: (*registry.find::<snapshot::Handle>(snapshot::Handle::NAME)?).clone(),
            directory: (*registry.find::<directory::Directory>(directory::Directory::NAME)?)
                .clone(),
            mailbox: (*registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?).clone(),
            router: router::Router::new(&settings.node, &settings.zone),
            usage_copies: (*registry.find::<usage::Copies>(usage::Copies::NAME)?).clone(),
            usage_windows: usage::Windows::system(settings.window),
            metrics: metrics::Metrics::new(&settings.node, settings.statsd),
            idle_timeout: settings.silence,
        };
        let server = http::serve(context, &settings).map_err(|error| {
            error::KernelError::StartFailed(CALLERS.to_owned(), error.to_string())
        })?;
        registry.register(CALLERS, server.handle());
        actix_rt::spawn(server);
        Ok(())
    };
    let stop = |registry: registry::Registry| async move {
        if let Ok(server) = registry.find::<actix_web::dev::ServerHandle>(CALLERS) {
            server.stop(true).await;
        }
    };
    service::Service::new(CALLERS)
        .depends_on([snapshot::Handle::NAME, "membership", usage::Copies::NAME])
        .start(start)
        .stop(stop)
}
