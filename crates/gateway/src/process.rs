//! Lifecycle of a gateway process: start, reload of the settings, graceful shutdown.

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

/// Time after a stop request during which new clients still connect, until the load balancer has
/// seen two failed readiness checks. Checks are 1 s apart; the rest is time for the responses.
const BALANCER_LAG: Duration = Duration::from_millis(2_600);

/// Part of the grace period that is kept for the process to exit.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Time before the end of the grace period from which on every new request is rejected. It is twice
/// the longest processing time of the non-streaming services in the sample deployments.
const LAST_REQUESTS: Duration = Duration::from_millis(1_200);

/// Interval at which the settings are reread, since they may change without a signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which the shutdown checks for active requests.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

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

/// Waits for active requests to finish, at most for the grace period.
async fn shut_down(state: &state::State) {
    let started = time::Instant::now();
    tracing::info!(active = state.active_requests.get(), "stop");
    state.stopping.send_replace(true);
    let grace_period = state.settings.grace_period.saturating_sub(EXIT_MARGIN);
    while started.elapsed() < grace_period {
        if started.elapsed() > BALANCER_LAG {
            // Clients keep connecting if no other gateway is ready, so requests other than streams
            // are admitted until shortly before the end.
            let is_closing = started.elapsed() > grace_period.saturating_sub(LAST_REQUESTS);
            state.admission.set(if is_closing {
                state::Admission::Closed
            } else {
                state::Admission::NoStreams
            });
            if state.active_requests.get() == 0 {
                break;
            }
        }
        time::sleep(DRAIN_INTERVAL).await;
    }
    tracing::info!(active = state.active_requests.get(), "stopped");
}
