//! One `azuregapd` process.

use std::fs;
use std::path;
use std::process;

use nix::sys::signal;
use nix::unistd;

use super::documents;

/// A running `azuregapd`; killed by its id when dropped.
pub(crate) struct Daemon {
    child: process::Child,
    role: &'static str,
    directory: path::PathBuf,
    pub(crate) settings: documents::Document,
}

impl Daemon {
    /// Starts a process whose settings and log are in `directory`.
    pub(crate) fn start(
        role: &'static str,
        settings: documents::Document,
        directory: &path::Path,
    ) -> Self {
        let child = spawn(role, &settings, directory);
        Self { child, role, directory: directory.to_owned(), settings }
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: signal::Signal) {
        let id = i32::try_from(self.child.id()).unwrap();
        signal::kill(unistd::Pid::from_raw(id), signal).unwrap();
    }

    /// Kills the process with SIGKILL and waits until it ended.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings, after [`Daemon::kill`] or its exit.
    pub(crate) fn restart(&mut self) {
        self.kill();
        self.child = spawn(self.role, &self.settings, &self.directory);
    }

    /// The exit code, if it has ended.
    pub(crate) fn exit_code(&mut self) -> Option<Option<i32>> {
        self.child.try_wait().unwrap().map(|status| status.code())
    }

    /// Log of the process so far.
    pub(crate) fn log(&self) -> String {
        fs::read_to_string(log_path(&self.settings, &self.directory)).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(role: &str, settings: &documents::Document, directory: &path::Path) -> process::Child {
    let file = directory.join(format!("{}.json", settings.name()));
    fs::write(&file, settings.text()).unwrap();
    let log = fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log_path(settings, directory))
        .unwrap();
    process::Command::new(env!("CARGO_BIN_EXE_azuregapd"))
        .arg(role)
        .arg("--settings")
        .arg(file)
        .stdout(log.try_clone().unwrap())
        .stderr(log)
        .spawn()
        .unwrap()
}

fn log_path(settings: &documents::Document, directory: &path::Path) -> path::PathBuf {
    directory.join(format!("{}.log", settings.name()))
}
