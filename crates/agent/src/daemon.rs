//! The services of an agent, put together.

use azuregap_control::mailbox;
use azuregap_control::process;
use azuregap_control::snapshot;
use azuregap_core::settings;
use azuregap_kernel::error;
use azuregap_kernel::kernel;
use azuregap_kernel::service;
use azuregap_wire::control;

use actix::Actor as _;

use crate::desk;
use crate::engine;
use crate::http;

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
    kernel::Kernel::new()
        .service(mailbox::service(process.clone()))
        .service(greeting_service(process.clone()))
        .service(azuregap_control::configuration::service(process.clone(), &settings.platform))
        .service(desk_service(settings.clone(), process.clone()))
        .service(runs_service(settings.clone(), process))
}

/// Answers greetings, so that entries find this agent.
fn greeting_service(process: process::Process) -> service::Service {
    let start = move |registry: azuregap_kernel::registry::Registry| async move {
        let mailbox = registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?;
        mailbox.on(move |message| match &message.body {
            control::Body::Hello(_) => {
                Some(control::Body::Greeted { peer: process.peer.clone(), known: Vec::new() })
            }
            _ => None,
        });
        Ok(())
    };
    service::Service::new("greeting").needs([mailbox::Mailbox::NAME]).start(start)
}

fn desk_service(settings: settings::AgentSettings, process: process::Process) -> service::Service {
    let start = move |registry: azuregap_kernel::registry::Registry| async move {
        let configuration = registry.find::<snapshot::Handle>(snapshot::Handle::NAME)?;
        let load = desk::SharedLoad::default();
        let engine = engine::Engine::new(&settings.engine, settings.model);
        let incarnation = process.peer.incarnation;
        let (handle, shared) = ((*configuration).clone(), load.clone());
        let desk = desk::Desk::new(settings, incarnation, handle, engine, shared).start();
        registry.offer(DESK, desk);
        registry.offer("load", load);
        Ok(())
    };
    let stop = |registry: azuregap_kernel::registry::Registry| async move {
        if let Ok(desk) = registry.find::<actix::Addr<desk::Desk>>(DESK) {
            let _ = desk.send(desk::Drain).await;
        }
    };
    service::Service::new(DESK).needs([snapshot::Handle::NAME]).start(start).stop(stop)
}

fn runs_service(settings: settings::AgentSettings, process: process::Process) -> service::Service {
    let start = move |registry: azuregap_kernel::registry::Registry| async move {
        let front = http::Front {
            desk: (*registry.find::<actix::Addr<desk::Desk>>(DESK)?).clone(),
            incarnation: process.peer.incarnation,
            configuration: (*registry.find::<snapshot::Handle>(snapshot::Handle::NAME)?).clone(),
            load: (*registry.find::<desk::SharedLoad>("load")?).clone(),
            heartbeat: settings.heartbeat,
        };
        let server = http::serve(front, settings.listen)
            .map_err(|error| error::KernelError::Failed(RUNS.to_owned(), error.to_string()))?;
        registry.offer(RUNS, server.handle());
        actix_rt::spawn(server);
        Ok(())
    };
    let stop = |registry: azuregap_kernel::registry::Registry| async move {
        if let Ok(desk) = registry.find::<actix::Addr<desk::Desk>>(DESK) {
            let _ = desk.send(desk::Drain).await;
        }
        if let Ok(server) = registry.find::<actix_web::dev::ServerHandle>(RUNS) {
            server.stop(true).await;
        }
    };
    service::Service::new(RUNS).needs([DESK]).start(start).stop(stop)
}
