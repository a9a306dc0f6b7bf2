//! The service "intent-api".

use std::cell;
use std::rc;

use actix_web::App;
use actix_web::HttpServer;
use actix_web::dev;
use actix_web::web;
use azuregap_core::settings;
use azuregap_kernel::error;
use azuregap_kernel::registry;
use azuregap_kernel::service;

use super::routes;
use super::state;
use crate::directory;
use crate::holder;
use crate::mailbox;
use crate::placement;

/// Name of the service.
const NAME: &str = "intent-api";

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// The service "intent-api" of an entry: listens at `settings.operators`.
#[must_use]
pub fn service(settings: &settings::EntrySettings) -> service::Service {
    let settings = settings.clone();
    let server: rc::Rc<cell::RefCell<Option<dev::ServerHandle>>> = rc::Rc::default();
    let running = server.clone();
    service::Service::new(NAME)
        .depends_on([
            mailbox::Mailbox::NAME,
            "membership",
            holder::LeaseHandle::NAME,
            placement::DemandTracker::NAME,
        ])
        .start(move |registry| async move {
            let handle = serve(&registry, settings)?;
            *server.borrow_mut() = Some(handle);
            Ok(())
        })
        .stop(move |_| async move {
            let handle = running.borrow_mut().take();
            if let Some(handle) = handle {
                handle.stop(true).await;
            }
        })
}

fn serve(
    registry: &registry::Registry,
    settings: settings::EntrySettings,
) -> error::KernelResult<dev::ServerHandle> {
    let listen = settings.operators;
    let handles = state::Handles {
        mailbox: registry.find::<mailbox::Mailbox>(mailbox::Mailbox::NAME)?.as_ref().clone(),
        directory: registry
            .find::<directory::Directory>(directory::Directory::NAME)?
            .as_ref()
            .clone(),
        holder: registry.find::<holder::LeaseHandle>(holder::LeaseHandle::NAME)?.as_ref().clone(),
        demand: registry
            .find::<placement::DemandTracker>(placement::DemandTracker::NAME)?
            .as_ref()
            .clone(),
        settings,
    };
    let failed = |error: std::io::Error| {
        error::KernelError::StartFailed(NAME.to_owned(), format!("{listen}: {error}"))
    };
    let app = move || {
        App::new()
            .app_data(web::Data::new(state::State::new(handles.clone())))
            .app_data(web::PayloadConfig::new(MAX_BODY_BYTES))
            .configure(routes::routes)
    };
    let server = HttpServer::new(app).workers(1).disable_signals().shutdown_timeout(2);
    let server = server.bind(listen).map_err(failed)?.run();
    let handle = server.handle();
    actix_rt::spawn(server);
    Ok(handle)
}
