//! Settings and intent of the deployment under test.

use std::collections;
use std::net;
use std::sync;

use azuregap_core::key;
use serde_json::json;

/// Addresses returned by [`free_address`].
static ALLOCATED: sync::Mutex<collections::BTreeSet<net::SocketAddr>> =
    sync::Mutex::new(collections::BTreeSet::new());

/// Key of the team that callers use by default.
pub(crate) const KEY: &str = "key-of-harbour";

/// Key of another team.
pub(crate) const OTHER_KEY: &str = "key-of-kelp";

/// Model that callers request.
pub(crate) const MODEL: &str = "advisor-model";

/// A settings document.
#[derive(Clone, Debug)]
pub(crate) struct Document(pub(crate) serde_json::Value);

impl Document {
    /// Name of the process.
    pub(crate) fn name(&self) -> &str {
        self.0["node"].as_str().unwrap()
    }

    /// Address in the given field.
    pub(crate) fn address(&self, field: &str) -> net::SocketAddr {
        self.0[field].as_str().unwrap().parse().unwrap()
    }

    /// The JSON text.
    pub(crate) fn text(&self) -> String {
        self.0.to_string()
    }
}

fn platform(address: net::SocketAddr) -> serde_json::Value {
    let base = format!("http://{address}");
    json!({
        "table": base, "objects": base, "orders": base, "usage": base, "vms": base,
        "timeout_ms": 1000,
    })
}

/// Settings of the entry numbered `i`.
pub(crate) fn entry(i: usize, platform_address: net::SocketAddr) -> Document {
    Document(json!({
        "node": format!("entry-{i}"), "zone": "perth-north",
        "listen": free_address(), "operators": free_address(), "control": free_address(),
        "platform": platform(platform_address), "workers": 1,
        "operator_keys": [{"name": "test", "digest": key::Digest::of("operator-key")}],
        "silence_ms": 1000, "max_stale_ms": 3000, "window_s": 60,
    }))
}

/// Settings of the agent beside the backend server at `backend`.
pub(crate) fn agent(
    name: &str,
    pool: &str,
    backend: net::SocketAddr,
    platform_address: net::SocketAddr,
) -> Document {
    Document(json!({
        "node": format!("agent-{name}"), "zone": "perth-north", "backend": name, "pool": pool,
        "engine": format!("http://{backend}"), "model": pool == MODEL, "checks_fence": true,
        "listen": free_address(), "control": free_address(), "platform": platform(platform_address),
        "slots": 8, "queue": 64, "heartbeat_ms": 200, "keep_ms": 10_000, "window_s": 60,
    }))
}

/// The initial intent.
pub(crate) fn intent() -> serde_json::Value {
    let class = |name: &str, tier: u8, deadline_ms: u64| {
        json!({
            "name": name, "tier": tier, "first_token_ms": 1000, "token_gap_ms": 50,
            "floor_percent": 20, "deadline_ms": deadline_ms,
        })
    };
    let plain = |name: &str, idempotent: bool| {
        json!({
            "name": name, "prefix": format!("/{name}"), "pool": "billing-app", "class": "ledger",
            "idempotent": idempotent, "max_body": 65536,
        })
    };
    let chat = json!({
        "name": "chat", "prefix": "/v1/chat/completions", "methods": ["POST"], "pool": MODEL,
        "class": "chat", "idempotent": true, "max_body": 1_048_576,
    });
    let mut open = plain("open", true);
    open["open"] = json!(true);
    let mut tariffs = plain("tariffs", false);
    tariffs["require_key"] = json!(true);
    let team = |name: &str| json!({"name": name, "weight": 1});
    let key = |key: &str, team: &str| json!({"digest": key::Digest::of(key), "team": team});
    let pool = |name: &str, kind: &str| {
        json!({
            "name": name, "kind": kind, "slots": 8, "throughput": 1000, "min_replicas": 1,
            "max_replicas": 4,
        })
    };
    json!({
        "classes": [class("chat", 1, 60_000), class("ledger", 0, 10_000)],
        "teams": [team("harbour"), team("kelp")],
        "keys": [key(KEY, "harbour"), key(OTHER_KEY, "kelp")],
        "pools": [pool(MODEL, "model"), pool("billing-app", "plain")],
        "routes": [chat, plain("lookups", true), plain("credits", false), open, tariffs],
        "zones": [{
            "name": "perth-north", "region": "perth-metro", "spend": 100_000_000,
            "price": 1_000_000,
        }],
    })
}

/// A free loopback address that was not returned before, on an IP address that only this process
/// uses.
pub(crate) fn free_address() -> net::SocketAddr {
    let loopback_host = loopback_host();
    let mut allocated = ALLOCATED.lock().unwrap();
    loop {
        let listener = net::TcpListener::bind((loopback_host, 0)).unwrap();
        let address = listener.local_addr().unwrap();
        if allocated.insert(address) {
            return address;
        }
    }
}

/// Port 0 on this process's own IP address, for a server that reports its bound port.
pub(crate) fn any_port() -> net::SocketAddr {
    (loopback_host(), 0).into()
}

/// Loopback IP address derived from the process id, so that only this process uses it.
fn loopback_host() -> net::Ipv4Addr {
    let [_, a, b, c] = std::process::id().to_be_bytes();
    net::Ipv4Addr::new(127, 64 | a, b, c)
}
