//! Which processes of a zone read the table service for the others.

use azuregap_platform::vms;
use smallvec::SmallVec;
use xxhash_rust::xxh3;

/// Readers of one zone.
const READERS: usize = 2;

/// Peers that a process tells of a new version.
const TOLD: usize = 4;

/// Control addresses, few.
pub(super) type Addresses = SmallVec<[String; TOLD]>;

/// Control addresses of the readers of `zone`: those with the highest hashes of their address, so
/// that every process picks the same ones from the same list and few change when a VM comes or
/// goes.
#[must_use]
pub(super) fn readers(vms: &[vms::Vm], zone: &str) -> Addresses {
    let near = vms.iter().filter(|vm| vm.zone == zone && !vm.leaving);
    highest(near, READERS, 0)
}

/// Control addresses of the peers that the process at `own` tells of `version`; others with each
/// version and for each process.
#[must_use]
pub(super) fn told(vms: &[vms::Vm], own: &str, version: u64) -> Addresses {
    let seed = xxh3::xxh3_64_with_seed(own.as_bytes(), version);
    highest(vms.iter().filter(|vm| vm.control != own), TOLD, seed)
}

fn highest<'a>(vms: impl Iterator<Item = &'a vms::Vm>, count: usize, seed: u64) -> Addresses {
    let hash = |vm: &vms::Vm| xxh3::xxh3_64_with_seed(vm.control.as_bytes(), seed);
    let mut ranked: Vec<_> = vms.map(|vm| (hash(vm), &vm.control)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(count).map(|(_, control)| control.clone()).collect()
}
