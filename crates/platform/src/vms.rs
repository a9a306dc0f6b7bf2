//! The lagging list of live and leaving VMs.

use std::time;

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

use crate::call;
use crate::error;

/// One VM of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Vm {
    /// Name: a node's for an entry VM, a backend server's otherwise.
    pub name: String,
    /// Availability zone.
    pub zone: ids::ZoneId,
    /// What it is for.
    pub kind: VmKind,
    /// `host:port` where the azuregap process on it takes control messages.
    pub control: String,
    /// Whether it was told to go.
    pub leaving: bool,
}

/// What a VM is for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// An entry.
    Entry,
    /// A backend server.
    Backend {
        /// The pool it serves.
        pool: ids::PoolId,
    },
}

/// A read of the list, posted as `{}` to `/vms`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmListCall {}

/// The list as the platform last published it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmList {
    /// Live and leaving VMs.
    pub vms: Vec<Vm>,
}

/// Carries one call.
pub type VmCarrier = call::Carrier<VmListCall, VmList>;

/// Client of the VM list.
#[derive(Clone, Debug)]
pub struct Vms {
    carrier: VmCarrier,
}

impl Vms {
    /// A client whose reads are carried by `carry`.
    pub fn new<F>(carry: impl Fn() -> F + 'static) -> Self
    where
        F: Future<Output = error::PlatformResult<VmList>> + 'static,
    {
        Self { carrier: call::Carrier::new(move |_| carry()) }
    }

    /// A client over HTTP to the list at `base`.
    #[must_use]
    pub fn http(base: impl Into<String>, timeout: time::Duration) -> Self {
        Self { carrier: call::Carrier::http(format!("{}/vms", base.into()), timeout) }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the platform gave none.
    pub async fn list(&self) -> error::PlatformResult<VmList> {
        self.carrier.call(VmListCall {}).await
    }
}
