//! Slopes of the list of VMs and of the directory of agents.

use std::hint;

use azuregap_control::directory;
use azuregap_platform::vms;

use super::Slope;
use super::memory;
use super::snapshot;

/// VMs of the measured list.
const VMS: usize = 11_100;

/// Agents of the measured directory.
const AGENTS: usize = 8_000;

/// Lists and directories held to measure the state of one.
const HELD: usize = 10;

/// What is held while other states are measured.
type Held = (Vec<vms::VmList>, Vec<Vec<directory::Agent>>);

/// State of a list and of a directory; hands out what was built so that no memory is used twice.
pub(super) fn states() -> ([Slope; 2], Held) {
    let before = memory::resident();
    let lists: Vec<_> = (0..HELD).map(|_| list()).collect();
    let listed = memory::resident();
    let agents: Vec<_> = (0..HELD).map(|_| (0..AGENTS).map(agent).collect::<Vec<_>>()).collect();
    let grown = memory::resident();
    let each = |bytes: u64, count| bytes as f64 / (HELD * count) as f64;
    let slope = |name, count, value| Slope { name, count, value, unit: "bytes" };
    let slopes = [
        slope("VM of the list, in memory", VMS, each(listed.saturating_sub(before), VMS)),
        slope("agent in the directory", AGENTS, each(grown.saturating_sub(listed), AGENTS)),
    ];
    (slopes, (lists, agents))
}

/// Size of a listed VM, and the time to read the list.
pub(super) fn slopes() -> [Slope; 2] {
    let text = serde_json::to_vec(&list()).unwrap_or_default();
    let size = text.len() as f64 / VMS as f64;
    let read = snapshot::median_micros(|| {
        let list: Result<vms::VmList, _> = serde_json::from_slice(&text);
        let _ = hint::black_box(list);
    });
    [
        Slope { name: "VM of the list, as text", count: VMS, value: size, unit: "bytes" },
        Slope { name: "reading the list of VMs", count: VMS, value: read, unit: "us" },
    ]
}

fn list() -> vms::VmList {
    vms::VmList { vms: (0..VMS).map(vm).collect() }
}

fn vm(i: usize) -> vms::Vm {
    vms::Vm {
        name: backend(i),
        zone: zone(i),
        kind: vms::VmKind::Backend { pool: format!("model-{}", i % 25) },
        control: address(i, 7100),
        leaving: false,
    }
}

fn agent(i: usize) -> directory::Agent {
    directory::Agent {
        node: format!("agent-{}", backend(i)),
        incarnation: u64::MAX,
        zone: zone(i),
        backend: backend(i),
        pool: format!("model-{}", i % 25),
        runs: address(i, 7200),
        control: address(i, 7100),
        leaving: false,
    }
}

fn backend(i: usize) -> String {
    format!("model-{}-zone-b-{i:012x}", i % 25)
}

fn zone(i: usize) -> String {
    format!("region-{}-zone-{}", i % 7, i % 4)
}

fn address(i: usize, port: u16) -> String {
    format!("10.120.{}.{}:{port}", i / 250, i % 250)
}
