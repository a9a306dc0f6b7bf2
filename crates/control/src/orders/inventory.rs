//! The backend servers that exist or may exist.

use azuregap_core::intent;
use azuregap_platform::vms;
use azuregap_policy::plan;

use super::row;

/// Lists the backend servers of the VM list and those that were ordered but are not listed yet.
/// An order whose response was lost counts as executed.
#[must_use]
pub fn inventory(
    list: &vms::VmList,
    orders: &[row::OrderRow],
    intent: &intent::Intent,
) -> Vec<plan::Backend> {
    let has_stop = |backend: &str| {
        orders.iter().any(|row| row.backend == backend && row.action == row::OrderAction::Stop)
    };
    let leaves = |name: &str| intent.is_leaving(name) || has_stop(name);
    let state = |leaves, otherwise| if leaves { plan::BackendState::Leaving } else { otherwise };
    let listed = list.vms.iter().filter_map(|vm| match &vm.kind {
        vms::VmKind::Entry => None,
        vms::VmKind::Backend { pool } => Some(plan::Backend {
            name: vm.name.clone(),
            pool: pool.clone(),
            zone: vm.zone.clone(),
            state: state(vm.leaving || leaves(&vm.name), plan::BackendState::Running),
        }),
    });
    let is_listed = |name: &str| list.vms.iter().any(|vm| vm.name == name);
    let ordered = orders.iter().filter_map(|row| match &row.action {
        row::OrderAction::Start { pool } if !is_listed(&row.backend) => Some(plan::Backend {
            name: row.backend.clone(),
            pool: pool.clone(),
            zone: row.zone.clone(),
            state: state(leaves(&row.backend), plan::BackendState::Pending),
        }),
        _ => None,
    });
    listed.chain(ordered).collect()
}
