//! Processes that recently replied to a greeting.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_platform::vms;
use azuregap_wire::control;
use tokio::time::Instant;

use crate::directory;
use crate::snapshot;

/// Time after the last reply at which a member is removed.
pub(super) const MEMBER_TIMEOUT: time::Duration = time::Duration::from_secs(4);

#[derive(Clone, Debug)]
struct Member {
    peer: control::Peer,
    last_seen: Instant,
    leaving: bool,
}

/// Processes that recently replied, by control address.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: collections::BTreeMap<String, Member>,
}

impl Roster {
    /// Updates the members from the list of VMs and removes those that are no longer listed.
    pub fn update_from(&mut self, list: &vms::VmList) {
        self.members.retain(|address, _| list.vms.iter().any(|vm| vm.control == *address));
        for vm in &list.vms {
            if let Some(member) = self.members.get_mut(&vm.control) {
                member.leaving = vm.leaving;
            }
        }
    }

    /// Records a reply of `peer` from the address of `vm`. It replaces an earlier incarnation at
    /// that address.
    pub fn record_reply(&mut self, vm: &vms::Vm, peer: control::Peer, now: Instant) {
        let member = Member { peer, last_seen: now, leaving: vm.leaving };
        self.members.insert(vm.control.clone(), member);
    }

    /// Removes members that have not replied for four seconds.
    pub fn expire(&mut self, now: Instant) {
        self.members.retain(|_, member| now.duration_since(member.last_seen) < MEMBER_TIMEOUT);
    }

    /// Returns all processes that recently replied.
    pub fn peers(&self) -> impl Iterator<Item = &control::Peer> {
        self.members.values().map(|member| &member.peer)
    }

    /// Returns whether `address` belongs to a member.
    #[must_use]
    pub fn contains(&self, address: &str) -> bool {
        self.members.contains_key(address)
    }

    /// Returns the agents. Those that leave according to the VM list or the configuration are
    /// marked.
    #[must_use]
    pub fn agents(&self, snapshot: &snapshot::Snapshot) -> Vec<directory::Agent> {
        let is_leaving = |member: &Member, backend: &ids::BackendId| {
            member.leaving || snapshot.intent.is_leaving(backend)
        };
        self.members
            .values()
            .filter_map(|member| match &member.peer.role {
                control::Role::Entry => None,
                control::Role::Agent { backend, pool, run_address } => Some(directory::Agent {
                    node: member.peer.node.clone(),
                    incarnation: member.peer.incarnation,
                    zone: member.peer.zone.clone(),
                    backend: backend.clone(),
                    pool: pool.clone(),
                    runs: run_address.clone(),
                    control: member.peer.control.clone(),
                    leaving: is_leaving(member, backend),
                }),
            })
            .collect()
    }
}
