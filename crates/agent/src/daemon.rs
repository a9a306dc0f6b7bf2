//! The services of an agent, put together.

use std::sync;

use actix::Actor as _;
use azuregap_control::configuration;
use azuregap_control::holder;
use azuregap_control::mailbox;
use azuregap_control::metrics;
use azuregap_control::process;
use azuregap_control::snapshot;
use azuregap_control::usage;
use azuregap_core::settings;
use azuregap_kernel::error;
use azuregap_kernel::kernel;
use azuregap_kernel::registry;
use azuregap_kernel::service;
use azuregap_platform::table;
use azuregap_wire::control;

use crate::desk;
use crate::engine;
use crate::http;
use crate::orders;

/// Name of the service that holds the desk.
const DESK: &str = "desk";

/// Name of the service that listens for runs.
const RUNS: &str = "runs";

/// A kernel with every service of an agent, not started yet.
#[must_use]
pub fn kernel(settings: &settings::AgentSettings) -> kernel::Kernel {
    let role = control::Role::Agent {
        backend: settings.backend.clone(),
        pool: settings.pool.clone(),
        runs: settings.listen.to_string(),
    };
    let process = process::Process::new(&settings.node, &settings.zone, settings.control, role);
    let load = desk::SharedLoad::default();
    kernel::Kernel::new()
        .service(mailbox::service(process.clone()))
        .service(configuration::service(process.clone(), &settings.platform))
        .service(usage::service(process.clone(), &settings.platform, settings.window))
        .service(greeting_service(process.clone(), load.clone()))
        .service(desk_service(settings.clone(), process.clone(), load.clone()))
        .service(runs_service(settings.clone(), process, load))
}

/// Answers greetings, so that entries find this agent, and tells the holder of the lease how far
/// a planned stop is.
fn greeting_service(process: process::Process, load: desk::SharedLoad) -> service::Service {
    let start = move |registry: registry::Registry| async move {
        let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
        let recorder = registry.find::<usage::Recorder>(usage::Recorder::NAME)?;
        mailbox.add_handler(move |message| match &message.body {
            control::Body::Hello(_) => {
                Some(control::Body::Greeted { peer: process.peer.clone(), known: Vec::new() })
            }
            control::Body::DrainState => {
                let load = *load.lock().unwrap_or_else(sync::PoisonError::into_inner);
                Some(control::Body::Draining { load, unflushed: recorder.unflushed() })
            }
            _ => None,
        });
        Ok(())
    };
    service::Service::new("greeting")
        .needs([mailbox::Mailbox::NAME, usage::Recorder::NAME])
        .start(start)
}

fn desk_service(
    settings: settings::AgentSettings,
    process: process::Process,
    load: desk::SharedLoad,
) -> service::Service {
    let start = move |registry: registry::Registry| async move {
        let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
        let orders = orders::Orders::default();
        let metrics = metrics::Metrics::new(&settings.node, settings.statsd);
        let parts = desk::Parts {
            engine: engine::Engine::new(&settings.engine, settings.model),
            settings,
            process,
            configuration: (*registry.find::<snapshot::Handle>(snapshot::Handle::NAME)?).clone(),
            recorder: (*registry.find::<usage::Recorder>(usage::Recorder::NAME)?).clone(),
            load,
            metrics,
            orders: orders.clone(),
        };
        actix_rt::spawn(read_fence(parts.settings.platform.clone(), orders.clone()));
        let desk = desk::Desk::new(parts).start();
        registry.offer(DESK, desk.clone());
        mailbox.add_handler(move |message| match &message.body {
            control::Body::Order(order) => {
                Some(orders.take(order, |order| desk.do_send(desk::CarryOut(order))))
            }
            _ => None,
        });
        Ok(())
    };
    let stop = |registry: registry::Registry| async move {
        if let Ok(desk) = registry.find::<actix::Addr<desk::Desk>>(DESK) {
            let _ = desk.send(desk::Drain).await;
        }
    };
    service::Service::new(DESK)
        .needs([snapshot::Handle::NAME, usage::Recorder::NAME])
        .start(start)
        .stop(stop)
}

/// Reads the fencing number in force, so that a restarted agent takes no order from an earlier
/// holder of the lease.
async fn read_fence(platform: settings::PlatformSettings, orders: orders::Orders) {
    let table = table::Table::http(&platform.table, platform.timeout);
    loop {
        match holder::read_fence(&table).await {
            Ok(fence) => return orders.open(fence),
            Err(error) => tracing::warn!(%error, "lease not read yet; no orders are taken"),
        }
        tokio::time::sleep(platform.timeout).await;
    }
}

fn runs_service(
    settings: settings::AgentSettings,
    process: process::Process,
    load: desk::SharedLoad,
) -> service::Service {
    let start = move |registry: registry::Registry| async move {
        let front = http::Front {
            desk: (*registry.find::<actix::Addr<desk::Desk>>(DESK)?).clone(),
            incarnation: process.peer.incarnation,
            configuration: (*registry.find::<snapshot::Handle>(snapshot::Handle::NAME)?).clone(),
            mailbox: (*registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?).clone(),
            load,
            heartbeat: settings.heartbeat,
        };
        let server = http::serve(front, settings.listen)
            .map_err(|error| error::KernelError::Failed(RUNS.to_owned(), error.to_string()))?;
        registry.offer(RUNS, server.handle());
        actix_rt::spawn(server);
        Ok(())
    };
    let stop = |registry: registry::Registry| async move {
        if let Ok(desk) = registry.find::<actix::Addr<desk::Desk>>(DESK) {
            let _ = desk.send(desk::Drain).await;
        }
        if let Ok(server) = registry.find::<actix_web::dev::ServerHandle>(RUNS) {
            server.stop(true).await;
        }
    };
    service::Service::new(RUNS).needs([DESK]).start(start).stop(stop)
}
