//! The lagging list of live and leaving VMs.

use std::fmt;
use std::rc;
use std::time;

use azuregap_core::ids;
use futures::future;
use futures::future::FutureExt as _;
use serde::Deserialize;
use serde::Serialize;

use crate::error;
use crate::http;

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

/// The list as the platform last published it, posted `{}` to `/vms`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VmList {
    /// Live and leaving VMs.
    pub vms: Vec<Vm>,
}

/// Carries one read.
pub type VmCarrier =
    rc::Rc<dyn Fn() -> future::LocalBoxFuture<'static, error::PlatformResult<VmList>>>;

/// Client of the VM list.
#[derive(Clone)]
pub struct Vms {
    carry: VmCarrier,
}

impl fmt::Debug for Vms {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Vms").finish_non_exhaustive()
    }
}

impl Vms {
    /// A client whose reads are carried by `carry`.
    pub fn new<F>(carry: impl Fn() -> F + 'static) -> Self
    where
        F: Future<Output = error::PlatformResult<VmList>> + 'static,
    {
        Self { carry: rc::Rc::new(move || carry().boxed_local()) }
    }

    /// A client over HTTP to the list at `base`.
    #[must_use]
    pub fn http(base: impl Into<String>, timeout: time::Duration) -> Self {
        let url = format!("{}/vms", base.into());
        let client = awc::Client::default();
        Self::new(move || {
            let (client, url) = (client.clone(), url.clone());
            async move { http::post(&client, &url, &serde_json::json!({}), timeout).await }
        })
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the platform gave none.
    pub async fn list(&self) -> error::PlatformResult<VmList> {
        (self.carry)().await
    }
}
