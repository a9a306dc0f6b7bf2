//! What a job shares with the others of its entry.

use std::time;

use azuregap_control::directory;
use azuregap_control::mailbox;
use azuregap_control::metrics;
use azuregap_control::snapshot;
use azuregap_control::usage;
use azuregap_core::ids;
use azuregap_platform::vms;

use crate::router;

/// What a job shares with the others of its entry.
#[derive(Clone, Debug)]
pub struct EntryContext {
    /// Name of this entry.
    pub node: ids::NodeId,
    /// The configuration in force.
    pub configuration: snapshot::Handle,
    /// The agents known.
    pub directory: directory::Directory,
    /// Asks other processes; hears of newer configurations.
    pub mailbox: mailbox::Mailbox,
    /// Decides for all jobs.
    pub router: router::Router,
    /// Copies of usage records.
    pub usage_copies: usage::Copies,
    /// Numbers of usage windows.
    pub usage_windows: usage::Windows,
    /// Sends metrics.
    pub metrics: metrics::Metrics,
    /// How long an answer may be silent before the entry asks again.
    pub idle_timeout: time::Duration,
}

impl EntryContext {
    /// Brings the router in step with the configuration and the agents.
    pub fn refresh_router(&self) {
        let peers = self.mailbox.peers();
        let entries = peers.iter().filter(|vm| vm.kind == vms::VmKind::Entry && !vm.leaving);
        self.router.update(&self.configuration.load(), &self.directory.load(), entries.count());
    }
}
