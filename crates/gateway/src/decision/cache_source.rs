//! Decides from which backend server the KV cache of a prompt's shared segments is fetched.
//!
//! Copying the KV cache of a long segment between two engines takes a few milliseconds; reading the
//! segment again takes hundreds, in which all streams on that engine stall. So if the engine that
//! is chosen for a request lacks segments that another one has cached, it fetches them. This
//! handles bursts of requests that share long prompts and are more than their preferred engines can
//! serve, engines that start with an empty cache, and engines that take over from failed ones.
//!
//! ```
//! use azuregap_gateway::decision::cache_source;
//!
//! let cached = |tokens, same_zone| cache_source::CachedPrefix { tokens, same_zone };
//! let prefixes = [cached(0, true), cached(9_000, false), cached(9_000, true)];
//! assert_eq!(cache_source::find(&prefixes), Some(2));
//! assert!(cache_source::pays(9_000, 0));
//! assert!(!cache_source::pays(9_000, 8_900));
//! ```

/// Shortest part of a prompt that is fetched, in tokens: reading fewer takes about as long as
/// setting up the transfer.
const MIN_FETCH_TOKENS: u64 = 500;

/// What a backend server has cached of the shared segments of a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CachedPrefix {
    /// Length in tokens.
    pub tokens: u64,
    /// Whether it is in the gateway's own availability zone.
    pub same_zone: bool,
}

/// Index of the backend server that has cached most of a prompt, if any has cached some of it.
#[must_use]
pub fn find(prefixes: &[CachedPrefix]) -> Option<usize> {
    (0..prefixes.len())
        .filter(|at| prefixes[*at].tokens > 0)
        .max_by_key(|at| (prefixes[*at].tokens, prefixes[*at].same_zone))
}

/// Whether a backend server with `own` cached tokens should fetch from one with `source`.
#[must_use]
pub const fn pays(source: u64, own: u64) -> bool {
    source >= own + MIN_FETCH_TOKENS
}
