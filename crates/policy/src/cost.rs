//! Estimated cost of a request in tokens, before its output length is known.

use std::collections;

use azuregap_core::ids;

/// Weight of the newest observation is one in this many.
const SMOOTHING: u64 = 16;

/// Output tokens expected before anything was observed.
const FIRST_GUESS: u64 = 256;

/// Bytes of a prompt for each token.
const TOKEN_BYTES: u64 = 4;

/// Sixteenths of a token, the unit of the smoothed means.
const UNIT: u64 = 16;

/// Smoothed output length for each route and class.
///
/// ```
/// use azuregap_policy::cost;
///
/// let mut estimator = cost::Estimator::new();
/// estimator.observe("advisor", "summary", 100);
/// assert_eq!(estimator.cost("advisor", "summary", 400, None), 200);
/// assert_eq!(estimator.cost("advisor", "summary", 400, Some(20)), 120);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Estimator {
    routes: collections::HashMap<String, collections::HashMap<ids::ClassId, u64>>,
}

impl Estimator {
    /// An estimator that has observed nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Expected cost in tokens: the prompt's, by its length in bytes, and the output's.
    ///
    /// The output is never expected to be longer than the caller's own `limit` in tokens.
    #[must_use]
    pub fn cost(&self, route: &str, class: &str, prompt_bytes: u64, limit: Option<u64>) -> u64 {
        let known = self.routes.get(route).and_then(|classes| classes.get(class));
        let output = known.map_or(FIRST_GUESS, |mean| mean / UNIT);
        let output = limit.map_or(output, |limit| output.min(limit));
        (prompt_bytes / TOKEN_BYTES + output).max(1)
    }

    /// Learns from the output length of a whole answer, in tokens.
    pub fn observe(&mut self, route: &str, class: &str, output: u64) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), collections::HashMap::new());
        }
        let Some(classes) = self.routes.get_mut(route) else { return };
        let scaled = output.saturating_mul(UNIT);
        match classes.get_mut(class) {
            Some(mean) => *mean = (*mean * (SMOOTHING - 1) + scaled) / SMOOTHING,
            None => {
                classes.insert(class.to_owned(), scaled);
            }
        }
    }
}
