//! The lagging list of live and leaving VMs.

use std::collections;
use std::time;

use azuregap_platform::error;
use azuregap_platform::vms;
use tokio::time as clock;

use crate::service;

/// The VMs there are and the lists published of them.
#[derive(Clone, Debug, Default)]
pub struct State {
    lag: time::Duration,
    now: vms::VmList,
    changes: collections::VecDeque<(clock::Instant, vms::VmList)>,
    published: vms::VmList,
}

/// The VM list behind its fault switches.
pub type Vms = service::Service<State>;

impl State {
    /// A list that shows every change only after `lag`.
    #[must_use]
    pub fn new(lag: time::Duration) -> Self {
        Self { lag, ..Self::default() }
    }

    /// Replaces the VMs.
    pub fn set(&mut self, list: vms::VmList) {
        self.now = list.clone();
        self.changes.push_back((clock::Instant::now(), list));
    }

    /// Adds a VM, in place of one of the same name.
    pub fn add(&mut self, vm: vms::Vm) {
        let mut list = self.now.clone();
        list.vms.retain(|other| other.name != vm.name);
        list.vms.push(vm);
        self.set(list);
    }

    /// Marks a VM as leaving.
    pub fn leave(&mut self, name: &str) {
        let mut list = self.now.clone();
        list.vms.iter_mut().filter(|vm| vm.name == name).for_each(|vm| vm.leaving = true);
        self.set(list);
    }

    /// Removes a VM.
    pub fn remove(&mut self, name: &str) {
        let mut list = self.now.clone();
        list.vms.retain(|vm| vm.name != name);
        self.set(list);
    }

    /// The list as it is published now; a stale list takes up no change.
    pub fn apply(&mut self, stale: bool) -> vms::VmList {
        while !stale && self.changes.front().is_some_and(|(at, _)| at.elapsed() >= self.lag) {
            if let Some((_, list)) = self.changes.pop_front() {
                self.published = list;
            }
        }
        self.published.clone()
    }
}

impl Vms {
    /// An in-process client that waits at most `timeout` for an answer.
    #[must_use]
    pub fn client(&self, timeout: time::Duration) -> vms::Vms {
        let service = self.clone();
        vms::Vms::new(move || {
            let service = service.clone();
            async move {
                let stale = service.faults().stale;
                let read = move |state: &mut State| Ok(state.apply(stale));
                service.call_within(timeout, service::Effect::Read, read).await
            }
        })
    }

    /// Carries out one read that came over HTTP.
    pub(crate) async fn serve(&self) -> error::PlatformResult<vms::VmList> {
        let stale = self.faults().stale;
        self.call(service::Effect::Read, move |state| Ok(state.apply(stale))).await
    }
}
