//! The life of a gateway process: start, reload, stop.

use std::process;
use std::rc;
use std::time::Duration;

use tokio::net;
use tokio::signal::unix;
use tokio::time;

use crate::clock;
use crate::codec;
use crate::proxy;
use crate::service;
use crate::settings;
use crate::state;
use crate::store;

/// After a request to stop, callers still arrive until the balancer has noticed twice that this
/// process isn't ready. Source: two questions, one each second, and the answers' way.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Part of the grace that is left for the process to end.
const END_MARGIN: Duration = Duration::from_millis(500);

/// Time that is left for the last requests, which are no streams. Source: twice the longest work
/// of the plain services in the sample deployments.
const LAST_REQUESTS: Duration = Duration::from_millis(1_200);

/// Pause between two looks at the settings, which may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Pause between two looks at what is still being served.
const DRAIN_TICK: Duration = Duration::from_millis(50);

/// What a gateway runs with.
#[derive(Debug)]
pub struct Components {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Translation of the deployment's names.
    pub codec: codec::Codec,
    /// The store.
    pub store: store::Store,
    /// Where usage is reported.
    pub usage_reporter: service::UsageReporter,
    /// Reads the settings again; what is wrong with them as text.
    pub reload_settings: fn() -> Result<settings::Settings, String>,
}

/// Runs a gateway until it is asked to stop.
///
/// # Errors
///
/// If an address can't be bound or signals can't be listened for.
pub async fn run(parts: Components) -> std::io::Result<process::ExitCode> {
    let Components { settings, codec, store, usage_reporter, reload_settings } = parts;
    let incarnation = rand::random();
    tracing::info!(node = settings.node, zone = settings.zone, incarnation, "start");
    let callers = net::TcpListener::bind(settings.http_address).await?;
    let ready = net::TcpListener::bind(settings.readiness_address).await?;
    let metrics = net::TcpListener::bind(settings.metrics_address).await?;
    let datagrams = net::UdpSocket::bind(settings.gossip_address).await?;
    let state = rc::Rc::new(state::State::new(settings, codec, clock::Clock::system()));
    let store = rc::Rc::new(store);
    actix_rt::spawn(service::serve_endpoint(state.clone(), ready, service::Endpoint::Readiness));
    actix_rt::spawn(service::serve_endpoint(state.clone(), metrics, service::Endpoint::Metrics));
    actix_rt::spawn(service::watch_configuration(state.clone(), store.clone()));
    actix_rt::spawn(service::watch_backends(state.clone(), store.clone()));
    actix_rt::spawn(service::run_gossip(state.clone(), store.clone(), datagrams, incarnation));
    actix_rt::spawn(service::run_usage_reporting(
        state.clone(),
        store,
        usage_reporter,
        incarnation,
    ));
    actix_rt::spawn(proxy::serve(state.clone(), callers));
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => take_settings(&state, reload_settings(), true),
            () = time::sleep(RELOAD_INTERVAL) => take_settings(&state, reload_settings(), false),
        }
    }
    stop(&state).await;
    Ok(process::ExitCode::SUCCESS)
}

/// Takes bounds from settings that were read again; the rest is for the next start.
fn take_settings(
    state: &state::State,
    settings: Result<settings::Settings, String>,
    is_asked: bool,
) {
    let settings = match settings {
        Ok(settings) => settings,
        Err(reason) => {
            tracing::error!(reason, "reload: the settings were not taken");
            return;
        }
    };
    let bounds = state.apply_settings(&settings);
    let needs_start = !state.settings.can_reload(&settings);
    if bounds || is_asked {
        tracing::info!(bounds, needs_start, "reload");
    }
}

/// Finishes what was begun, but not beyond the grace.
async fn stop(state: &state::State) {
    let started = time::Instant::now();
    tracing::info!(active = state.active_requests.get(), "stop");
    state.stopping.send_replace(true);
    let grace = state.settings.grace_period.saturating_sub(END_MARGIN);
    while started.elapsed() < grace {
        if started.elapsed() > BALANCER_LAG {
            // Where no other gateway is ready, callers go on to arrive.
            let ends = started.elapsed() > grace.saturating_sub(LAST_REQUESTS);
            state.admission.set(if ends {
                state::Admission::Closed
            } else {
                state::Admission::NoStreams
            });
            if state.active_requests.get() == 0 {
                break;
            }
        }
        time::sleep(DRAIN_TICK).await;
    }
    tracing::info!(active = state.active_requests.get(), "stopped");
}
