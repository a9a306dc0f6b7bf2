//! When requests were last answered, for those that come often.
//!
//! A request that is answered all the time has not crashed the backend servers that it is lost at.
//!
//! ```
//! use std::time::Duration;
//!
//! use azuregap_gateway::decision::answered_requests;
//!
//! let mut answered = answered_requests::AnsweredRequests::default();
//! answered.record(7, Duration::from_secs(3));
//! assert_eq!(answered.last(7), Some(Duration::from_secs(3)));
//! assert_eq!(answered.last(8), None);
//! ```

use std::collections;
use std::time::Duration;

/// Maximum number of requests in each of the two generations.
const MAX_REQUESTS: usize = 2_048;

/// Hash of a request, which this process alone uses.
pub type RequestHash = u64;

/// Last answers of requests; those that weren't answered for long are forgotten.
#[derive(Debug, Default)]
pub struct AnsweredRequests {
    current: collections::HashMap<RequestHash, Duration>,
    previous: collections::HashMap<RequestHash, Duration>,
}

impl AnsweredRequests {
    /// Records an answer that began at a time of day.
    pub fn record(&mut self, request: RequestHash, began_at: Duration) {
        if self.current.len() >= MAX_REQUESTS {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(request, began_at);
    }

    /// When the last known answer of a request began.
    #[must_use]
    pub fn last(&self, request: RequestHash) -> Option<Duration> {
        self.current.get(&request).or_else(|| self.previous.get(&request)).copied()
    }
}
