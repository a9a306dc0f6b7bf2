//! Selection of the readers of a zone and of the peers that are notified of a version.

use azuregap_platform::vms;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

/// Number of readers per zone.
const READERS_PER_ZONE: usize = 2;

/// Number of peers that a process notifies of a new version.
const ANNOUNCE_FANOUT: usize = 4;

/// A short list of control addresses.
pub(super) type Addresses = SmallVec<[String; ANNOUNCE_FANOUT]>;

/// Returns the control addresses of the readers of `zone`. Rendezvous hashing of the addresses
/// makes all processes select the same readers from the same list, and limits changes when a VM is
/// added or removed.
#[must_use]
pub(super) fn readers(vms: &[vms::Vm], zone: &str) -> Addresses {
    let local = vms.iter().filter(|vm| vm.zone == zone && !vm.leaving);
    highest_hashes(local, READERS_PER_ZONE, 0)
}

/// Returns the control addresses of the peers that the process at `own` notifies of `version`. The
/// selection differs for each version and process.
#[must_use]
pub(super) fn announce_targets(vms: &[vms::Vm], own: &str, version: u64) -> Addresses {
    let seed = xxh3::xxh3_64_with_seed(own.as_bytes(), version);
    highest_hashes(vms.iter().filter(|vm| vm.control != own), ANNOUNCE_FANOUT, seed)
}

fn highest_hashes<'a>(
    vms: impl Iterator<Item = &'a vms::Vm>,
    count: usize,
    seed: u64,
) -> Addresses {
    let hash = |vm: &vms::Vm| xxh3::xxh3_64_with_seed(vm.control.as_bytes(), seed);
    let mut ranked: Vec<_> = vms.map(|vm| (hash(vm), &vm.control)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, control)| control.clone()).collect()
}
