//! What this gateway knows about one backend server.

use xxhash_rust::xxh3;

use super::backend;
use super::load;
use crate::decision::health;
use crate::decision::prefix_cache;

/// A backend server and what this gateway has observed about it.
#[derive(Debug)]
pub struct BackendState {
    /// Its entry in the store.
    pub backend: backend::Backend,
    /// Hash of its id, the same at every gateway.
    pub hash: u32,
    /// Load of this gateway's requests there.
    pub own_load: load::Load,
    /// Recent outcomes of its requests.
    pub health: health::Health,
    /// Prompt segments that it has read recently.
    pub prefix_cache: prefix_cache::PrefixCache,
}

impl BackendState {
    /// A backend server without observations.
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

/// Hash of an id; identifies a backend server in messages between gateways.
#[must_use]
pub fn id_hash(id: &str) -> u32 {
    // The low half is as evenly distributed as the whole.
    (xxh3::xxh3_64(id.as_bytes()) & u64::from(u32::MAX)) as u32
}
