//! Agents that answered a greeting lately.

use std::collections;
use std::time;

use azuregap_core::ids;
use azuregap_platform::vms;
use azuregap_wire::control;
use tokio::time::Instant;

use crate::directory;
use crate::snapshot;

/// How long an agent that does not answer is kept.
pub(super) const KEEP: time::Duration = time::Duration::from_secs(4);

#[derive(Clone, Debug)]
struct Member {
    peer: control::Peer,
    seen: Instant,
    leaving: bool,
}

/// The agents that answered lately, by the address they answered at.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: collections::BTreeMap<String, Member>,
}

impl Roster {
    /// Takes the list of VMs: addresses no longer listed are forgotten.
    pub fn list(&mut self, list: &vms::VmList) {
        self.members.retain(|address, _| list.vms.iter().any(|vm| vm.control == *address));
        for vm in &list.vms {
            if let Some(member) = self.members.get_mut(&vm.control) {
                member.leaving = vm.leaving;
            }
        }
    }

    /// Notes that `peer` answered at the address of `vm`; another incarnation replaces the one
    /// known there.
    pub fn greeted(&mut self, vm: &vms::Vm, peer: control::Peer, now: Instant) {
        let member = Member { peer, seen: now, leaving: vm.leaving };
        self.members.insert(vm.control.clone(), member);
    }

    /// Forgets who did not answer for four seconds.
    pub fn expire(&mut self, now: Instant) {
        self.members.retain(|_, member| now.duration_since(member.seen) < KEEP);
    }

    /// Every process that answered lately.
    pub fn peers(&self) -> impl Iterator<Item = &control::Peer> {
        self.members.values().map(|member| &member.peer)
    }

    /// Whether `address` is one of a known process.
    #[must_use]
    pub fn knows(&self, address: &str) -> bool {
        self.members.contains_key(address)
    }

    /// The agents, marked leaving when the VM list or the configuration says so.
    #[must_use]
    pub fn agents(&self, snapshot: &snapshot::Snapshot) -> Vec<directory::Agent> {
        let leaves = |member: &Member, backend: &ids::BackendId| {
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
                    leaving: leaves(member, backend),
                }),
            })
            .collect()
    }
}
