//! Lifecycle of a gateway process: start, reload of the settings, graceful shutdown.

use std::process;
use std::rc;
use std::time::Duration;

use tokio::net;
use tokio::signal::unix;
use tokio::time;

use crate::clock;
use crate::codec;
use crate::decision::shutdown;
use crate::proxy;
use crate::service;
use crate::settings;
use crate::state;
use crate::store;

/// Longest time for writing the last responses before the process exits.
const FLUSH_TIME: Duration = Duration::from_millis(300);

/// Interval at which the settings are reread, since they may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which the shutdown checks for active requests.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the shutdown checks for responses that are being written.
const FLUSH_INTERVAL: Duration = Duration::from_millis(5);

/// Signals that a gateway handles.
#[derive(Debug)]
pub struct Signals {
    terminate: unix::Signal,
    hangup: unix::Signal,
}

impl Signals {
    /// Installs the handlers; a signal that arrives from now on is handled once the gateway runs.
    ///
    /// Until then a signal ends the process, so this is done before anything that can take time,
    /// such as reading the settings.
    ///
    /// # Errors
    ///
    /// If a handler can't be installed.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: unix::signal(unix::SignalKind::terminate())?,
            hangup: unix::signal(unix::SignalKind::hangup())?,
        })
    }
}

/// Everything a gateway is built from.
#[derive(Debug)]
pub struct Components {
    /// Settings of the process.
    pub settings: settings::Settings,
    /// Codec for the deployment's names.
    pub codec: codec::Codec,
    /// Client of the store.
    pub store: store::Store,
    /// Client that sends usage reports.
    pub usage_reporter: service::UsageReporter,
    /// Rereads the settings; the error is a description of what is wrong with them.
    pub reload_settings: fn() -> Result<settings::Settings, String>,
    /// Handlers of the signals.
    pub signals: Signals,
}

/// Runs a gateway until it receives SIGTERM, then shuts it down gracefully.
///
/// # Errors
///
/// If an address can't be bound.
pub async fn run(components: Components) -> std::io::Result<process::ExitCode> {
    let Components { settings, codec, store, usage_reporter, reload_settings, mut signals } =
        components;
    let incarnation = rand::random();
    tracing::info!(node = settings.node, zone = settings.zone, incarnation, "start");
    let http = net::TcpListener::bind(settings.http_address).await?;
    let readiness = net::TcpListener::bind(settings.readiness_address).await?;
    let metrics = net::TcpListener::bind(settings.metrics_address).await?;
    let gossip = net::UdpSocket::bind(settings.gossip_address).await?;
    let state = rc::Rc::new(state::State::new(settings, codec, clock::Clock::system()));
    let store = rc::Rc::new(store);
    actix_rt::spawn(service::serve_endpoint(
        state.clone(),
        readiness,
        service::Endpoint::Readiness,
    ));
    actix_rt::spawn(service::serve_endpoint(state.clone(), metrics, service::Endpoint::Metrics));
    actix_rt::spawn(service::watch_configuration(state.clone(), store.clone()));
    actix_rt::spawn(service::watch_backends(state.clone(), store.clone()));
    actix_rt::spawn(service::run_gossip(state.clone(), store.clone(), gossip, incarnation));
    actix_rt::spawn(service::run_usage_reporting(
        state.clone(),
        store,
        usage_reporter,
        incarnation,
    ));
    actix_rt::spawn(proxy::serve(state.clone(), http));
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.hangup.recv() => apply_reload(&state, reload_settings(), true),
            () = time::sleep(RELOAD_INTERVAL) => apply_reload(&state, reload_settings(), false),
        }
    }
    shut_down(&state).await;
    Ok(process::ExitCode::SUCCESS)
}

/// Applies the reloadable settings; all others take effect at the next start.
///
/// `is_requested` is true for a reload by signal, which is always logged.
fn apply_reload(
    state: &state::State,
    settings: Result<settings::Settings, String>,
    is_requested: bool,
) {
    let settings = match settings {
        Ok(settings) => settings,
        Err(reason) => {
            tracing::error!(reason, "reload failed: invalid settings; keeping the current ones");
            return;
        }
    };
    let bounds = state.apply_settings(&settings);
    let needs_start = !state.settings.can_reload(&settings);
    if bounds || is_requested {
        tracing::info!(bounds, needs_start, "reload");
    }
}

/// Shuts a gateway down: waits for active requests to finish and for clients to take their answers, at
/// most for the grace period. Requests that still run then get a complete response that says so, and
/// the function returns once the responses are written.
pub async fn shut_down(state: &state::State) {
    let shutdown = shutdown::Shutdown::new(state.clock.now(), state.settings.grace_period);
    tracing::info!(active = state.active_requests.get(), "stop");
    state.shutdown.set(Some(shutdown));
    state.stopping.send_replace(true);
    let owes_answers =
        |now| state.clients.stalls().into_iter().any(|stalled| shutdown.awaits(stalled, now));
    let is_idle =
        |now| shutdown.may_exit(now) && state.active_requests.get() == 0 && !owes_answers(now);
    while !is_idle(state.clock.now()) && !shutdown.has_ended(state.clock.now()) {
        time::sleep(DRAIN_INTERVAL).await;
    }
    let unfinished = state.active_requests.get();
    state.exiting.send_replace(true);
    let is_flushed = async {
        while state.used_connections.get() > 0 {
            time::sleep(FLUSH_INTERVAL).await;
        }
    };
    // Clients that don't read their responses don't delay the exit any longer.
    let flushed = time::timeout(FLUSH_TIME, is_flushed).await.is_ok();
    tracing::info!(active = unfinished, flushed, "stopped");
}
