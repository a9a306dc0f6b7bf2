//! What this gateway knows of one backend server.

use std::ops;

use xxhash_rust::xxh3;

use super::backend;
use crate::decision::cache;
use crate::decision::standing;

/// Work of this gateway's own requests on a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests sent and not finished.
    pub running: u32,
    /// Those of them with long prompts.
    pub long: u32,
    /// Prompt tokens of requests that have not produced their first event.
    pub prefill: u64,
    /// Those of requests that can't be on time any more.
    pub late: u64,
}

impl ops::AddAssign for Load {
    fn add_assign(&mut self, other: Self) {
        self.running += other.running;
        self.long += other.long;
        self.prefill += other.prefill;
        self.late += other.late;
    }
}

impl ops::SubAssign for Load {
    /// Never less than nothing.
    fn sub_assign(&mut self, other: Self) {
        self.running = self.running.saturating_sub(other.running);
        self.long = self.long.saturating_sub(other.long);
        self.prefill = self.prefill.saturating_sub(other.prefill);
        self.late = self.late.saturating_sub(other.late);
    }
}

/// A backend server with what this gateway learnt of it.
#[derive(Debug)]
pub struct Known {
    /// As it describes itself.
    pub backend: backend::Backend,
    /// Hash of its id, the same at every gateway.
    pub hash: u32,
    /// This gateway's own work there.
    pub load: Load,
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
            load: Load::default(),
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
