//! `azuregapd`, the daemon of entry VMs and of backend servers.
//!
//! Exit codes: 0 after a graceful stop, 1 when a service failed, 2 on wrong arguments or
//! settings.

use std::fs;
use std::path;
use std::process;

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

/// What this process is.
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

/// Exit code on wrong settings.
const EXIT_SETTINGS: u8 = 2;

fn main() -> process::ExitCode {
    let role = Arguments::parse().role;
    let _guard = start_logs(&role);
    let kernel = match role {
        Role::Hosted => return hosted(),
        Role::Entry { settings } => read(&settings, settings::EntrySettings::check)
            .map(|settings| azuregap_entry::daemon::kernel(&settings)),
        Role::Agent { settings } => read(&settings, settings::AgentSettings::check)
            .map(|settings| azuregap_agent::daemon::kernel(&settings)),
    };
    match kernel {
        Ok(kernel) => actix_rt::System::new().block_on(run(kernel)),
        Err(reason) => {
            tracing::error!(reason, "the settings were not taken");
            process::ExitCode::from(EXIT_SETTINGS)
        }
    }
}

/// Lines that wait for a reader of standard output; more are dropped, never waited for.
const LINES_WAITING: usize = 4_096;

/// Logs go to standard output on the platform, which collects it, else to standard error.
fn start_logs(role: &Role) -> Option<non_blocking::WorkerGuard> {
    let lines = tracing_subscriber::fmt().json().flatten_event(true).with_env_filter(filter());
    if !matches!(role, Role::Hosted) {
        lines.with_writer(std::io::stderr).init();
        return None;
    }
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(LINES_WAITING)
        .lossy(true)
        .finish(std::io::stdout());
    lines.with_writer(writer).init();
    Some(guard)
}

/// Runs a gateway on the platform.
fn hosted() -> process::ExitCode {
    let settings = match azuregap_host::process::read_settings() {
        Ok(settings) => settings,
        Err(error) => {
            tracing::error!(reason = error.to_string(), "the settings were not taken");
            return process::ExitCode::from(EXIT_SETTINGS);
        }
    };
    match actix_rt::System::new().block_on(azuregap_host::process::run(settings)) {
        Ok(code) => code,
        Err(error) => {
            tracing::error!(reason = error.to_string(), "start failed");
            process::ExitCode::FAILURE
        }
    }
}

fn filter() -> tracing_subscriber::EnvFilter {
    tracing_subscriber::EnvFilter::try_from_default_env()
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"))
}

/// Reads a settings file; every fault is told, with its path, number and what is expected.
fn read<T: de::DeserializeOwned>(
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
    let tell = |fault: &intent::Fault| {
        format!("{}: at '{}': expected {}", fault.code.number(), fault.path, fault.expected)
    };
    let faults: Vec<_> = faults.iter().map(tell).collect();
    Err(format!("{}: {}", path.display(), faults.join("; ")))
}

/// Runs until asked to stop, then stops gracefully.
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
