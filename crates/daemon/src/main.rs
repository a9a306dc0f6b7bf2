//! `azuregapd`, the daemon that runs on entry VMs and beside backend servers.
//!
//! Exit codes: 0 after a graceful stop, 1 if a service failed, 2 on invalid arguments or settings.

use std::fs;
use std::mem;
use std::path;
use std::process;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use azuregap_core::code;
use azuregap_core::intent;
use azuregap_core::settings;
use azuregap_kernel::kernel;
use clap::Parser as _;
use serde::de;
use tokio::signal::unix;
use tracing_appender::non_blocking;

/// Routes language-model traffic with service levels and priorities.
#[derive(Debug)]
#[derive(clap::Parser)]
#[command(name = "azuregapd", version)]
struct Arguments {
    #[command(subcommand)]
    role: Role,
}

/// Role of the process.
#[derive(Debug)]
#[derive(clap::Subcommand)]
enum Role {
    /// Takes callers' requests on an entry VM.
    Entry {
        /// Settings file, JSON.
        #[arg(long)]
        settings: path::PathBuf,
    },
    /// Stands beside a backend server.
    Agent {
        /// Settings file, JSON.
        #[arg(long)]
        settings: path::PathBuf,
    },
    /// Serves as a gateway on the platform, which names the settings file.
    Hosted,
}

const EXIT_INVALID_SETTINGS: u8 = 2;

fn main() -> process::ExitCode {
    let role = Arguments::parse().role;
    let guard = init_logging(&role);
    let kernel = match role {
        Role::Hosted => return host(guard),
        Role::Entry { settings } => read_settings(&settings, settings::EntrySettings::check)
            .map(|settings| azuregap_entry::daemon::kernel(&settings)),
        Role::Agent { settings } => read_settings(&settings, settings::AgentSettings::check)
            .map(|settings| azuregap_agent::daemon::kernel(&settings)),
    };
    match kernel {
        Ok(kernel) => actix_rt::System::new().block_on(run(kernel)),
        Err(reason) => {
            tracing::error!(reason, "invalid settings");
            process::ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

/// Longest time for writing the last log lines before the process exits. What comes after the last
/// response must fit into the rest of the grace period, also on a slow VM.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Log lines buffered for a slow reader of standard output; further lines are dropped instead of
/// blocking the process.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts logging: to standard output on the platform, which collects it, else to standard error.
fn init_logging(role: &Role) -> Option<non_blocking::WorkerGuard> {
    let subscriber =
        tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(log_filter());
    if !matches!(role, Role::Hosted) {
        subscriber.with_writer(std::io::stderr).init();
        return None;
    }
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    subscriber.with_writer(writer).init();
    Some(guard)
}

/// Runs a gateway that the platform hosts, and leaves nothing that can delay the end of the process.
fn host(guard: Option<non_blocking::WorkerGuard>) -> process::ExitCode {
    let system = actix_rt::System::new();
    let code = system.block_on(run_hosted());
    // Dropping it waits for work on other threads, such as the decoding of a large configuration.
    mem::forget(system);
    // Dropping the guard waits for whoever reads the log, for ever if the reader has stopped.
    let (sender, flushed) = mpsc::channel::<()>();
    thread::spawn(move || {
        drop(guard);
        drop(sender);
    });
    // Ends with an error as soon as the sender is dropped.
    let _ = flushed.recv_timeout(LOG_FLUSH_TIME);
    code
}

/// Runs a gateway that the platform hosts.
async fn run_hosted() -> process::ExitCode {
    let signals = match azuregap_host::process::Signals::install() {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(reason = error.to_string(), "cannot listen for signals");
            return process::ExitCode::FAILURE;
        }
    };
    let settings = match azuregap_host::process::read_settings() {
        Ok(settings) => settings,
        Err(error) => {
            tracing::error!(reason = error.to_string(), "invalid settings");
            return process::ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    match azuregap_host::process::run(settings, signals).await {
        Ok(code) => code,
        Err(error) => {
            tracing::error!(reason = error.to_string(), "start failed");
            process::ExitCode::FAILURE
        }
    }
}

fn log_filter() -> tracing_subscriber::EnvFilter {
    tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"))
}

/// Reads a settings file and checks it.
///
/// # Errors
///
/// If the file cannot be read or parsed, or fails the check; the message lists every fault with its
/// number, the path of its field and what is expected.
fn read_settings<T: de::DeserializeOwned>(
    path: &path::Path,
    check: impl Fn(&T) -> Vec<intent::Fault>,
) -> Result<T, String> {
    let text = fs::read_to_string(path).map_err(|error| {
        format!("{}: {}: {error}", code::Code::FileUnreadable.number(), path.display())
    })?;
    let settings: T =
        settings::from_text(&text).map_err(|error| format!("{}: {error}", path.display()))?;
    let faults = check(&settings);
    if faults.is_empty() {
        return Ok(settings);
    }
    let describe = |fault: &intent::Fault| {
        format!("{}: at '{}': expected {}", fault.code.number(), fault.path, fault.expected)
    };
    let faults: Vec<_> = faults.iter().map(describe).collect();
    Err(format!("{}: {}", path.display(), faults.join("; ")))
}

/// Runs until SIGTERM or SIGINT, then stops gracefully.
async fn run(mut kernel: kernel::Kernel) -> process::ExitCode {
    if let Err(error) = kernel.start().await {
        tracing::error!(reason = error.to_string(), "start failed");
        return process::ExitCode::FAILURE;
    }
    tracing::info!("started");
    let mut terminate = match unix::signal(unix::SignalKind::terminate()) {
        Ok(signal) => signal,
        Err(error) => {
            tracing::error!(reason = error.to_string(), "cannot listen for signals");
            return process::ExitCode::FAILURE;
        }
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    kernel.stop().await;
    process::ExitCode::SUCCESS
}
