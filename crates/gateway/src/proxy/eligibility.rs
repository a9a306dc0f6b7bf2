//! Which backend servers may get a request at all, whatever their load is.

use super::dispatch;
use crate::directory;
use crate::state;

/// Whether a request may be sent to the backend servers of an availability zone.
pub(super) fn is_open_zone(state: &state::State, zone: &str) -> bool {
    !state.withdrawn_zones.borrow().contains(zone)
}

/// Backend servers of the request's service that may get it.
pub(super) fn of_service<'a>(
    request: &'a dispatch::ProxyRequest,
    directory: &'a directory::Directory,
) -> impl Iterator<Item = &'a directory::BackendState> {
    let state = &request.state;
    let servers = directory.of_service(&request.admitted.service);
    let homes = &request.admitted.homes;
    let has_homes = !homes.route.is_empty() || !homes.team.is_empty();
    let is_home = move |zone: &str| {
        !has_homes || homes.allow(state.settings.regions.get(zone).map(String::as_str))
    };
    servers.filter(move |server| {
        let zone = server.backend.zone.as_str();
        is_open_zone(state, zone) && is_home(zone)
    })
}

/// Whether the service has backend servers, all of them in withdrawn availability zones.
pub(super) fn is_withdrawn(request: &dispatch::ProxyRequest) -> bool {
    let directory = request.state.directory.borrow();
    let mut servers = directory.of_service(&request.admitted.service).peekable();
    servers.peek().is_some()
        && servers.all(|server| !is_open_zone(&request.state, &server.backend.zone))
}
