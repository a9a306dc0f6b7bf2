//! Assembles the services of an agent process.

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

use crate::backend;
use crate::http;
use crate::orders;
use crate::scheduler;

/// Name of the service that runs the scheduler.
const SCHEDULER_SERVICE: &str = "desk";

/// Name of the service that accepts run requests from entries over HTTP.
const RUN_SERVICE: &str = "runs";

/// Builds a kernel with every service of an agent, without starting it.
#[must_use]
pub fn kernel(settings: &settings::AgentSettings) -> kernel::Kernel {
    let role = control::Role::Agent {
        backend: settings.backend.clone(),
        pool: settings.pool.clone(),
        run_address: settings.listen.to_string(),
    };
    let process = process::Process::new(&settings.node, &settings.zone, settings.control, role);
    let load = scheduler::SharedLoad::default();
    kernel::Kernel::new()
        .service(mailbox::service(process.clone()))
        .service(configuration::service(process.clone(), &settings.platform))
        .service(usage::service(process.clone(), &settings.platform, settings.window))
        .service(peer_service(process.clone(), load.clone()))
        .service(desk_service(settings.clone(), process.clone(), load.clone()))
        .service(run_service(settings.clone(), process, load))
}

/// Replies to `Hello`, so that entries discover this agent, and reports the progress of a drain to
/// the lease holder.
fn peer_service(process: process::Process, load: scheduler::SharedLoad) -> service::Service {
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
        .depends_on([mailbox::Mailbox::NAME, usage::Recorder::NAME])
        .start(start)
}

fn desk_service(
    settings: settings::AgentSettings,
    process: process::Process,
    load: scheduler::SharedLoad,
) -> service::Service {
    let start = move |registry: registry::Registry| async move {
        let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
        let orders = orders::OrderTracker::default();
        let metrics = metrics::Metrics::new(&settings.node, settings.statsd);
        let dependencies = scheduler::Dependencies {
            backend: backend::BackendClient::new(&settings.engine, settings.model),
            settings,
            process,
            configuration: (*registry.find::<snapshot::Handle>(snapshot::Handle::NAME)?).clone(),
            recorder: (*registry.find::<usage::Recorder>(usage::Recorder::NAME)?).clone(),
            load,
            metrics,
            orders: orders.clone(),
        };
        actix_rt::spawn(read_initial_fence(dependencies.settings.platform.clone(), orders.clone()));
        let scheduler = scheduler::Scheduler::new(dependencies).start();
        registry.register(SCHEDULER_SERVICE, scheduler.clone());
        mailbox.add_handler(move |message| match &message.body {
            control::Body::Order(order) => Some(
                orders.handle(order, |order| scheduler.do_send(scheduler::ExecuteOrder(order))),
            ),
            _ => None,
        });
        Ok(())
    };
    let stop = |registry: registry::Registry| async move {
        if let Ok(scheduler) = registry.find::<actix::Addr<scheduler::Scheduler>>(SCHEDULER_SERVICE)
        {
            let _ = scheduler.send(scheduler::Drain).await;
        }
    };
    service::Service::new(SCHEDULER_SERVICE)
        .depends_on([snapshot::Handle::NAME, usage::Recorder::NAME])
        .start(start)
        .stop(stop)
}

/// Reads the current fencing token, so that a restarted agent rejects orders of an earlier lease
/// holder.
async fn read_initial_fence(platform: settings::PlatformSettings, orders: orders::OrderTracker) {
    let table = table::Table::http(&platform.table, platform.timeout);
    loop {
        match holder::read_fence(&table).await {
            Ok(fence) => return orders.set_fence(fence),
            Err(error) => {
                tracing::warn!(%error, "failed to read the lease; no orders are admitted yet");
            }
        }
        tokio::time::sleep(platform.timeout).await;
    }
}

fn run_service(
    settings: settings::AgentSettings,
    process: process::Process,
    load: scheduler::SharedLoad,
) -> service::Service {
    let start = move |registry: registry::Registry| async move {
        let state = http::ServerState {
            scheduler: (*registry.find::<actix::Addr<scheduler::Scheduler>>(SCHEDULER_SERVICE)?)
                .clone(),
            incarnation: process.peer.incarnation,
            configuration: (*registry.find::<snapshot::Handle>(snapshot::Handle::NAME)?).clone(),
            mailbox: (*registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?).clone(),
            load,
            heartbeat: settings.heartbeat,
        };
        let server = http::serve(state, settings.listen).map_err(|error| {
            error::KernelError::StartFailed(RUN_SERVICE.to_owned(), error.to_string())
        })?;
        registry.register(RUN_SERVICE, server.handle());
        actix_rt::spawn(server);
        Ok(())
    };
    let stop = |registry: registry::Registry| async move {
        if let Ok(scheduler) = registry.find::<actix::Addr<scheduler::Scheduler>>(SCHEDULER_SERVICE)
        {
            let _ = scheduler.send(scheduler::Drain).await;
        }
        if let Ok(server) = registry.find::<actix_web::dev::ServerHandle>(RUN_SERVICE) {
            server.stop(true).await;
        }
    };
    service::Service::new(RUN_SERVICE).depends_on([SCHEDULER_SERVICE]).start(start).stop(stop)
}
