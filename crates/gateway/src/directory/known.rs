//! What this gateway knows of one backend server.

use xxhash_rust::xxh3;

use super::backend;
use super::load;
use crate::decision::cache;
use crate::decision::standing;

/// A backend server with what this gateway learnt of it.
#[derive(Debug)]
pub struct Known {
    /// As it describes itself.
    pub backend: backend::Backend,
    /// Hash of its id, the same at every gateway.
    pub hash: u32,
    /// This gateway's own work there.
    pub load: load::Load,
    /// How its answers have been.
    pub standing: standing::Standing,
    /// Parts of prompts that it has read lately.
    pub cache: cache::Cache,
}

impl Known {
    /// A backend server of which nothing is known yet.
    #[must_use]
    pub fn new(backend: backend::Backend) -> Self {
        Self {
            hash: hash_of(&backend.id),
            backend,
            load: load::Load::default(),
            standing: standing::Standing::new(),
            cache: cache::Cache::new(),
        }
    }
}

/// Hash of a backend server's id, as gateways name it to each other.
#[must_use]
pub fn hash_of(id: &str) -> u32 {
    // The low half is as evenly spread as the whole.
    (xxh3::xxh3_64(id.as_bytes()) & u64::from(u32::MAX)) as u32
}
