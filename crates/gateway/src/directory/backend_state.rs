//! What this gateway knows of one backend server.

use xxhash_rust::xxh3;

use super::backend;
use super::load;
use crate::decision::health;
use crate::decision::prefix_cache;

/// A backend server with what this gateway learnt of it.
#[derive(Debug)]
pub struct BackendState {
    /// As it describes itself.
    pub backend: backend::Backend,
    /// Hash of its id, the same at every gateway.
    pub hash: u32,
    /// This gateway's own work there.
    pub own_load: load::Load,
    /// How its answers have been.
    pub health: health::Health,
    /// Parts of prompts that it has read lately.
    pub prefix_cache: prefix_cache::PrefixCache,
}

impl BackendState {
    /// A backend server of which nothing is known yet.
    #[must_use]
    pub fn new(backend: backend::Backend) -> Self {
        Self {
            hash: id_hash(&backend.id),
            backend,
            own_load: load::Load::default(),
            health: health::Health::new(),
            prefix_cache: prefix_cache::PrefixCache::new(),
        }
    }
}

/// Hash of a backend server's id, as gateways name it to each other.
#[must_use]
pub fn id_hash(id: &str) -> u32 {
    // The low half is as evenly spread as the whole.
    (xxh3::xxh3_64(id.as_bytes()) & u64::from(u32::MAX)) as u32
}
