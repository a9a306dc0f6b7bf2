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
//! let source = cache_source::find(&prefixes).expect("two have cached something");
//! assert_eq!(source.index, 2);
//! assert_eq!(source.fetched_tokens(3_000), 6_000);
//! assert_eq!(source.fetched_tokens(8_900), 0);
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

/// The backend server that has cached most of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Source {
    /// Its index among the candidates.
    pub index: usize,
    /// Length of what it has cached, in tokens.
    pub tokens: u64,
}

impl Source {
    /// Tokens that a backend server with `own` cached tokens fetches; 0 if it doesn't pay.
    #[must_use]
    pub const fn fetched_tokens(&self, own: u64) -> u64 {
        let missing = self.tokens.saturating_sub(own);
        if missing >= MIN_FETCH_TOKENS { missing } else { 0 }
    }
}

/// The backend server that has cached most of a prompt, if any has cached some of it.
#[must_use]
pub fn find(prefixes: &[CachedPrefix]) -> Option<Source> {
    (0..prefixes.len())
        .filter(|at| prefixes[*at].tokens > 0)
        .max_by_key(|at| (prefixes[*at].tokens, prefixes[*at].same_zone))
        .map(|index| Source { index, tokens: prefixes[index].tokens })
}
