//! Estimated cost of a request in tokens, before its output length is known.

use std::collections;

use azuregap_core::ids;

/// Window of the moving average: the newest sample has a weight of one in this many.
const SMOOTHING: u64 = 16;

/// Output tokens assumed for a class without samples.
const DEFAULT_OUTPUT_TOKENS: u64 = 256;

/// Prompt bytes per token.
const TOKEN_BYTES: u64 = 4;

/// Fixed-point scale of the averages: they are stored in sixteenths of a token.
const SCALE: u64 = 16;

/// Moving average of the output length per route and class.
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
    /// An estimator without samples.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Expected cost in tokens: the prompt, estimated from its length in bytes, plus the output.
    ///
    /// The expected output is capped at the caller's own `limit` in tokens.
    #[must_use]
    pub fn cost(&self, route: &str, class: &str, prompt_bytes: u64, limit: Option<u64>) -> u64 {
        let average = self.routes.get(route).and_then(|classes| classes.get(class));
        let output = average.map_or(DEFAULT_OUTPUT_TOKENS, |average| average / SCALE);
        let output = limit.map_or(output, |limit| output.min(limit));
        (prompt_bytes / TOKEN_BYTES + output).max(1)
    }

    /// Adds the output length of a complete response, in tokens.
    pub fn observe(&mut self, route: &str, class: &str, output: u64) {
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), collections::HashMap::new());
        }
        let Some(classes) = self.routes.get_mut(route) else { return };
        let scaled = output.saturating_mul(SCALE);
        match classes.get_mut(class) {
            Some(average) => *average = (*average * (SMOOTHING - 1) + scaled) / SMOOTHING,
            None => {
                classes.insert(class.to_owned(), scaled);
            }
        }
    }
}
