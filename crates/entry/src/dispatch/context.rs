//! State and services shared by all requests of one entry.

use std::time;

use azuregap_control::directory;
use azuregap_control::mailbox;
use azuregap_control::metrics;
use azuregap_control::snapshot;
use azuregap_control::usage;
use azuregap_core::ids;
use azuregap_platform::vms;

use crate::router;

/// State and services shared by all requests of one entry.
#[derive(Clone, Debug)]
pub struct EntryContext {
    /// Node name of this entry.
    pub node: ids::NodeId,
    /// Current configuration.
    pub configuration: snapshot::Handle,
    /// Known agents.
    pub directory: directory::Directory,
    /// Sends control messages to other processes and learns of newer configurations.
    pub mailbox: mailbox::Mailbox,
    /// Replica selection, team limits, retry budgets and cost estimates.
    pub router: router::Router,
    /// Copies of usage records that agents have not yet stored durably.
    pub usage_copies: usage::Copies,
    /// Computes the current usage window.
    pub usage_windows: usage::Windows,
    /// Metrics client.
    pub metrics: metrics::Metrics,
    /// Time without a frame after which the entry resumes a response over a new connection.
    pub idle_timeout: time::Duration,
}

impl EntryContext {
    /// Updates the router from the current configuration and the known agents.
    pub fn refresh_router(&self) {
        let peers = self.mailbox.peers();
        let entries = peers.iter().filter(|vm| vm.kind == vms::VmKind::Entry && !vm.leaving);
        self.router.update(&self.configuration.load(), &self.directory.load(), entries.count());
    }
}
