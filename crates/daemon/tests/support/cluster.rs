//! A deployment with entries and agents as processes, and fakes in the test process.

use std::fs;
use std::net;
use std::path;
use std::sync::atomic;

use actix_web::dev;
use azuregap_platform::table;
use azuregap_platform::vms;
use azuregap_standins::engine;
use azuregap_standins::plain;
use azuregap_standins::platform;
use serde_json::json;

use super::agent_proxy;
use super::caller;
use super::daemon;
use super::documents;

static CLUSTER_COUNT: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Lines of each log that are shown after a failure.
const LOG_LINES: usize = 20;

/// Number of processes of each kind, and their options.
#[derive(Clone, Debug)]
pub(crate) struct ClusterOptions {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) plains: usize,
    pub(crate) settings: engine::Settings,
    /// Whether entries reach the agents through a proxy that can stop carrying data.
    pub(crate) proxied: bool,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            entries: 1,
            engines: 1,
            plains: 1,
            settings: engine::Settings::new(),
            proxied: false,
        }
    }
}

/// A deployment; all processes and servers stop when it is dropped.
pub(crate) struct Cluster {
    pub(crate) platform: platform::Platform,
    pub(crate) engines: Vec<engine::Engine>,
    pub(crate) plains: Vec<plain::Plain>,
    pub(crate) entries: Vec<daemon::Daemon>,
    pub(crate) engine_agents: Vec<daemon::Daemon>,
    pub(crate) plain_agents: Vec<daemon::Daemon>,
    pub(crate) proxies: Vec<agent_proxy::AgentProxy>,
    pub(crate) intent: serde_json::Value,
    version: u64,
    directory: path::PathBuf,
    servers: Vec<dev::ServerHandle>,
}

impl Cluster {
    /// Starts a deployment and waits until it serves.
    pub(crate) async fn start(options: ClusterOptions) -> Self {
        let mut cluster = Self::start_platform();
        cluster.apply_intent(documents::intent()).await;
        let platform_address = cluster.serve_platform();
        for i in 0..options.engines {
            let engine = engine::Engine::start(options.settings.clone());
            let (server, address) = engine.serve(documents::any_port()).unwrap();
            let name = format!("engine-{i}");
            let settings = documents::agent(&name, documents::MODEL, address, platform_address);
            cluster.servers.push(server);
            cluster.engines.push(engine);
            cluster.engine_agents.push(cluster.agent(settings, documents::MODEL));
        }
        for i in 0..options.plains {
            let plain = plain::Plain::new();
            let (server, address) = plain.serve(documents::any_port()).unwrap();
            let name = format!("plain-{i}");
            let settings = documents::agent(&name, "billing-app", address, platform_address);
            cluster.servers.push(server);
            cluster.plains.push(plain);
            cluster.plain_agents.push(cluster.agent(settings, "billing-app"));
        }
        if options.proxied {
            cluster.start_proxies().await;
        }
        for i in 0..options.entries {
            let settings = documents::entry(i, platform_address);
            cluster.register_vm(settings.name(), &settings, vms::VmKind::Entry);
            cluster.entries.push(daemon::Daemon::start("entry", settings, &cluster.directory));
        }
        cluster.wait_until_serving().await;
        cluster
    }

    /// Creates a client of an entry.
    pub(crate) fn caller(&self, entry: usize) -> caller::Caller {
        caller::Caller::new(self.entries[entry].settings.address("listen"))
    }

    /// Waits until every entry serves every kind of backend server there is.
    pub(crate) async fn wait_until_serving(&self) {
        for i in 0..self.entries.len() {
            self.wait_until_entry_serves(i).await;
        }
    }

    /// Waits until one entry serves every kind of backend server there is.
    pub(crate) async fn wait_until_entry_serves(&self, entry: usize) {
        caller::eventually("the entry is ready", async || {
            self.caller(entry).get("/readyz").await.status == 200
        })
        .await;
        if !self.engines.is_empty() {
            caller::eventually("models are served", async || {
                self.caller(entry).chat("settle", 1).await.appears_complete()
            })
            .await;
        }
        if !self.plains.is_empty() {
            caller::eventually("plain services are served", async || {
                self.caller(entry).call("GET", "/lookups/settle", "settle").await.status == 200
            })
            .await;
        }
    }

    /// Stores an intent as the current configuration in the table service.
    pub(crate) async fn apply_intent(&mut self, intent: serde_json::Value) {
        self.version += 1;
        let row = json!({"version": self.version, "by": "test", "text": intent.to_string()});
        let put = table::Transaction::new().put("config/current", row);
        self.platform.table.with(|state| state.apply(table::TableCall::Commit(put)));
        self.intent = intent;
    }

    /// How often a plain call ran, over all plain services.
    pub(crate) fn run_count(&self, id: &str) -> u64 {
        self.plains.iter().map(|plain| plain.counters().runs.get(id).copied().unwrap_or(0)).sum()
    }

    /// Last log lines of every process, printed when a test fails.
    pub(crate) fn logs(&self) -> String {
        let all = self.entries.iter().chain(&self.engine_agents).chain(&self.plain_agents);
        all.map(|daemon| format!("--- {}\n{}", daemon.settings.name(), last_lines(&daemon.log())))
            .collect()
    }

    /// Starts a proxy in front of every agent.
    async fn start_proxies(&mut self) {
        for agent in self.engine_agents.iter().chain(&self.plain_agents) {
            let proxy = agent_proxy::AgentProxy::start(&agent.settings).await;
            let backend = agent.settings.0["backend"].as_str().unwrap();
            let pool = agent.settings.0["pool"].as_str().unwrap().to_owned();
            self.register_vm_at(
                backend,
                proxy.control().to_string(),
                vms::VmKind::Backend { pool },
            );
            self.proxies.push(proxy);
        }
    }

    fn start_platform() -> Self {
        let number = CLUSTER_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("cluster-{}-{number}", std::process::id());
        let directory = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&directory).unwrap();
        Self {
            platform: platform::Platform::new(),
            engines: Vec::new(),
            plains: Vec::new(),
            entries: Vec::new(),
            engine_agents: Vec::new(),
            plain_agents: Vec::new(),
            proxies: Vec::new(),
            intent: serde_json::Value::Null,
            version: 0,
            directory,
            servers: Vec::new(),
        }
    }

    fn serve_platform(&mut self) -> net::SocketAddr {
        let listen = documents::any_port();
        let (server, address) = platform::serve(listen, self.platform.clone()).unwrap();
        self.servers.push(server);
        address
    }

    fn agent(&self, settings: documents::Document, pool: &str) -> daemon::Daemon {
        let backend = settings.0["backend"].as_str().unwrap();
        self.register_vm(backend, &settings, vms::VmKind::Backend { pool: pool.to_owned() });
        daemon::Daemon::start("agent", settings, &self.directory)
    }

    /// Adds a VM to the platform's list.
    fn register_vm(&self, name: &str, settings: &documents::Document, kind: vms::VmKind) {
        self.register_vm_at(name, settings.address("control").to_string(), kind);
    }

    fn register_vm_at(&self, name: &str, control: String, kind: vms::VmKind) {
        let vm = vms::Vm {
            name: name.to_owned(),
            zone: "perth-north".to_owned(),
            kind,
            control,
            leaving: false,
        };
        self.platform.vms.with(|state| state.add(vm));
    }
}

/// The last [`LOG_LINES`] lines of a log.
fn last_lines(log: &str) -> String {
    let lines: Vec<_> = log.lines().collect();
    lines[lines.len().saturating_sub(LOG_LINES)..].join("\n") + "\n"
}

impl Drop for Cluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("{}", self.logs());
        }
        for server in self.servers.drain(..) {
            drop(server.stop(false));
        }
        for daemon in
            self.entries.iter_mut().chain(&mut self.engine_agents).chain(&mut self.plain_agents)
        {
            daemon.kill();
        }
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}
