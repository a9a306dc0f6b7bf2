//! Entries and agents as processes, stand-ins in this one.

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

use super::caller;
use super::daemon;
use super::detour;
use super::documents;

static CLUSTERS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Lines of each log that are shown after a failure.
const LOG_LINES: usize = 20;

/// How many of everything there are.
#[derive(Clone, Debug)]
pub(crate) struct Shape {
    pub(crate) entries: usize,
    pub(crate) engines: usize,
    pub(crate) plains: usize,
    pub(crate) settings: engine::Settings,
    /// Whether entries reach the agents through a proxy that can fall silent.
    pub(crate) proxied: bool,
}

impl Default for Shape {
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

/// A deployment; everything ends when it is dropped.
pub(crate) struct Cluster {
    pub(crate) platform: platform::Platform,
    pub(crate) engines: Vec<engine::Engine>,
    pub(crate) plains: Vec<plain::Plain>,
    pub(crate) entries: Vec<daemon::Daemon>,
    pub(crate) engine_agents: Vec<daemon::Daemon>,
    pub(crate) plain_agents: Vec<daemon::Daemon>,
    pub(crate) detours: Vec<detour::Detour>,
    pub(crate) intent: serde_json::Value,
    version: u64,
    folder: path::PathBuf,
    servers: Vec<dev::ServerHandle>,
}

impl Cluster {
    /// Starts a deployment and waits until it serves.
    pub(crate) async fn start(shape: Shape) -> Self {
        let mut cluster = Self::start_platform();
        cluster.accept(documents::intent()).await;
        let platform_at = cluster.serve_platform();
        for i in 0..shape.engines {
            let engine = engine::Engine::start(shape.settings.clone());
            let (server, address) = engine.serve(documents::any_port()).unwrap();
            let name = format!("engine-{i}");
            let settings = documents::agent(&name, documents::MODEL, address, platform_at);
            cluster.servers.push(server);
            cluster.engines.push(engine);
            cluster.engine_agents.push(cluster.agent(settings, documents::MODEL));
        }
        for i in 0..shape.plains {
            let plain = plain::Plain::new();
            let (server, address) = plain.serve(documents::any_port()).unwrap();
            let name = format!("plain-{i}");
            let settings = documents::agent(&name, "billing-app", address, platform_at);
            cluster.servers.push(server);
            cluster.plains.push(plain);
            cluster.plain_agents.push(cluster.agent(settings, "billing-app"));
        }
        if shape.proxied {
            cluster.take_detours().await;
        }
        for i in 0..shape.entries {
            let settings = documents::entry(i, platform_at);
            cluster.list(settings.name(), &settings, vms::VmKind::Entry);
            cluster.entries.push(daemon::Daemon::start("entry", settings, &cluster.folder));
        }
        cluster.settle().await;
        cluster
    }

    /// A caller of an entry.
    pub(crate) fn caller(&self, entry: usize) -> caller::Caller {
        caller::Caller::new(self.entries[entry].settings.address("listen"))
    }

    /// Waits until every entry serves every kind of backend server there is.
    pub(crate) async fn settle(&self) {
        for i in 0..self.entries.len() {
            self.settle_entry(i).await;
        }
    }

    /// Waits until one entry serves every kind of backend server there is.
    pub(crate) async fn settle_entry(&self, entry: usize) {
        caller::eventually("the entry is ready", async || {
            self.caller(entry).get("/readyz").await.status == 200
        })
        .await;
        if !self.engines.is_empty() {
            caller::eventually("models are served", async || {
                self.caller(entry).chat("settle", 1).await.claims_whole()
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

    /// Puts an intent in force in the table service.
    pub(crate) async fn accept(&mut self, intent: serde_json::Value) {
        self.version += 1;
        let row = json!({"version": self.version, "by": "test", "text": intent.to_string()});
        let put = table::Transaction::new().put("config/current", row);
        self.platform.table.with(|state| state.apply(table::TableCall::Commit(put)));
        self.intent = intent;
    }

    /// How often a plain call ran, over all plain services.
    pub(crate) fn runs(&self, id: &str) -> u64 {
        self.plains.iter().map(|plain| plain.counters().runs.get(id).copied().unwrap_or(0)).sum()
    }

    /// The processes' logs, for the message of a failure.
    pub(crate) fn logs(&self) -> String {
        let all = self.entries.iter().chain(&self.engine_agents).chain(&self.plain_agents);
        all.map(|daemon| format!("--- {}\n{}", daemon.settings.name(), last_lines(&daemon.log())))
            .collect()
    }

    /// Puts a proxy before every agent.
    async fn take_detours(&mut self) {
        for agent in self.engine_agents.iter().chain(&self.plain_agents) {
            let detour = detour::Detour::start(&agent.settings).await;
            let backend = agent.settings.0["backend"].as_str().unwrap();
            let pool = agent.settings.0["pool"].as_str().unwrap().to_owned();
            self.list_at(backend, detour.control().to_string(), vms::VmKind::Backend { pool });
            self.detours.push(detour);
        }
    }

    fn start_platform() -> Self {
        let number = CLUSTERS.fetch_add(1, atomic::Ordering::Relaxed);
        let name = format!("cluster-{}-{number}", std::process::id());
        let folder = path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&folder).unwrap();
        Self {
            platform: platform::Platform::new(),
            engines: Vec::new(),
            plains: Vec::new(),
            entries: Vec::new(),
            engine_agents: Vec::new(),
            plain_agents: Vec::new(),
            detours: Vec::new(),
            intent: serde_json::Value::Null,
            version: 0,
            folder,
            servers: Vec::new(),
        }
    }

    fn serve_platform(&mut self) -> net::SocketAddr {
        let at = documents::any_port();
        let (server, address) = platform::serve(at, self.platform.clone()).unwrap();
        self.servers.push(server);
        address
    }

    fn agent(&self, settings: documents::Document, pool: &str) -> daemon::Daemon {
        let backend = settings.0["backend"].as_str().unwrap();
        self.list(backend, &settings, vms::VmKind::Backend { pool: pool.to_owned() });
        daemon::Daemon::start("agent", settings, &self.folder)
    }

    /// Puts a VM on the platform's list.
    fn list(&self, name: &str, settings: &documents::Document, kind: vms::VmKind) {
        self.list_at(name, settings.address("control").to_string(), kind);
    }

    fn list_at(&self, name: &str, control: String, kind: vms::VmKind) {
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

/// The end of a log.
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
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}
