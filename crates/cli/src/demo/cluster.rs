//! Platform, backend servers, agents and entries of the demo.

use std::io;
use std::net;
use std::time;

use azuregap_core::intent;
use azuregap_core::key;
use azuregap_core::settings;
use azuregap_kernel::error;
use azuregap_kernel::kernel;
use azuregap_platform::vms;
use azuregap_standins::engine;
use azuregap_standins::plain;
use azuregap_standins::platform;

use super::ports;

/// Entries that are started.
const ENTRIES: usize = 2;

/// Replicas of each model.
const MODEL_REPLICAS: u32 = 2;

/// Replicas of each plain service.
const PLAIN_REPLICAS: u32 = 1;

/// Any free port of loopback.
const LOOPBACK: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0);

/// Length of a usage window.
const WINDOW: time::Duration = time::Duration::from_secs(60);

/// Everything the demo runs.
pub(super) struct Cluster {
    /// The platform's stand-in.
    pub(super) platform: platform::Platform,
    /// Callers' addresses of the entries.
    pub(super) entries: Vec<net::SocketAddr>,
    /// Operators' address of the first entry.
    pub(super) operators: net::SocketAddr,
    /// Names of the backend servers.
    pub(super) backends: Vec<String>,
    kernels: Vec<kernel::Kernel>,
}

impl Cluster {
    /// Starts the platform, the backend servers that `intent` needs, their agents and two
    /// entries that know one operator.
    ///
    /// # Errors
    ///
    /// When loopback has no free port or a service does not start.
    pub(super) async fn start(
        intent: &intent::Intent,
        operator: key::Digest,
    ) -> error::KernelResult<Self> {
        let platform = platform::Platform::new();
        let (_, address) = platform::serve(LOOPBACK, platform.clone()).map_err(no_port)?;
        let mut cluster = Self {
            platform,
            entries: Vec::new(),
            operators: LOOPBACK,
            backends: Vec::new(),
            kernels: Vec::new(),
        };
        let base = platform_settings(address);
        for (i, zone) in intent.zones.iter().cycle().take(ENTRIES).enumerate() {
            cluster.start_entry(i, zone, &base, operator).await?;
        }
        let mut zones = intent.zones.iter().cycle();
        for pool in &intent.pools {
            for (i, zone) in (1..=replicas(pool)).zip(&mut zones) {
                cluster.start_agent(&format!("{}-{i}", pool.name), pool, zone, &base).await?;
            }
        }
        Ok(cluster)
    }

    /// Stops entries and agents gracefully, the last started first.
    pub(super) async fn stop(mut self) {
        while let Some(mut kernel) = self.kernels.pop() {
            kernel.stop().await;
        }
    }

    async fn start_entry(
        &mut self,
        index: usize,
        zone: &intent::Zone,
        platform: &settings::PlatformSettings,
        operator: key::Digest,
    ) -> error::KernelResult<()> {
        let ports = ports::free(3).map_err(no_port)?;
        let settings = settings::EntrySettings {
            node: format!("entry-{}", index + 1),
            zone: zone.name.clone(),
            listen: ports[0],
            operators: ports[1],
            control: ports[2],
            platform: platform.clone(),
            operator_keys: vec![settings::OperatorKey {
                name: "demo".to_owned(),
                digest: operator,
            }],
            workers: 1,
            silence: time::Duration::from_secs(2),
            max_stale: time::Duration::from_secs(4),
            window: WINDOW,
            statsd: None,
        };
        if self.entries.is_empty() {
            self.operators = settings.operators;
        }
        self.entries.push(settings.listen);
        self.list(&settings.node, &settings.zone, vms::VmKind::Entry, settings.control);
        self.start_kernel(azuregap_entry::daemon::kernel(&settings)).await
    }

    async fn start_agent(
        &mut self,
        backend: &str,
        pool: &intent::Pool,
        zone: &intent::Zone,
        platform: &settings::PlatformSettings,
    ) -> error::KernelResult<()> {
        let engine = start_backend(pool).map_err(no_port)?;
        let ports = ports::free(2).map_err(no_port)?;
        let settings = settings::AgentSettings {
            node: format!("agent-{backend}"),
            zone: zone.name.clone(),
            backend: backend.to_owned(),
            pool: pool.name.clone(),
            engine: format!("http://{engine}"),
            model: pool.kind == intent::PoolKind::Model,
            checks_fence: true,
            listen: ports[0],
            control: ports[1],
            platform: platform.clone(),
            slots: pool.slots,
            queue: 2 * pool.slots,
            heartbeat: time::Duration::from_millis(500),
            keep: time::Duration::from_secs(60),
            window: WINDOW,
            statsd: None,
        };
        let kind = vms::VmKind::Backend { pool: pool.name.clone() };
        self.list(backend, &settings.zone, kind, settings.control);
        self.backends.push(backend.to_owned());
        self.start_kernel(azuregap_agent::daemon::kernel(&settings)).await
    }

    /// Puts a VM on the platform's list.
    fn list(&self, name: &str, zone: &str, kind: vms::VmKind, control: net::SocketAddr) {
        let vm = vms::Vm {
            name: name.to_owned(),
            zone: zone.to_owned(),
            kind,
            control: control.to_string(),
            leaving: false,
        };
        self.platform.vms.with(|state| state.add(vm));
    }

    async fn start_kernel(&mut self, mut kernel: kernel::Kernel) -> error::KernelResult<()> {
        kernel.start().await?;
        self.kernels.push(kernel);
        Ok(())
    }
}

/// Replicas of `pool` that the demo starts.
pub(super) const fn replicas(pool: &intent::Pool) -> u32 {
    match pool.kind {
        intent::PoolKind::Model => MODEL_REPLICAS,
        intent::PoolKind::Plain => PLAIN_REPLICAS,
    }
}

fn start_backend(pool: &intent::Pool) -> io::Result<net::SocketAddr> {
    let (_, address) = match pool.kind {
        intent::PoolKind::Model => {
            let slots = usize::try_from(pool.slots).unwrap_or(1);
            engine::serve(LOOPBACK, engine::Settings::new().slots(slots).model(&pool.name))?
        }
        intent::PoolKind::Plain => plain::serve(LOOPBACK)?,
    };
    Ok(address)
}

fn platform_settings(address: net::SocketAddr) -> settings::PlatformSettings {
    let base = format!("http://{address}");
    settings::PlatformSettings {
        table: base.clone(),
        objects: base.clone(),
        orders: base.clone(),
        usage: base.clone(),
        vms: base,
        timeout: time::Duration::from_secs(2),
    }
}

fn no_port(error: io::Error) -> error::KernelError {
    error::KernelError::StartFailed("loopback".to_owned(), error.to_string())
}
