//! Pure decision logic: admission, fair sharing, load balancing, retries, placement and spend.
//!
//! Nothing here opens a socket or reads a clock: time is passed in as [`tokio::time::Instant`] and
//! randomness as a seeded generator, so every decision can be replayed. The services of the
//! daemons gather the inputs, call a function of this crate and act on the result.
//!
//! ```
//! use azuregap_policy::queue;
//! use tokio::time;
//!
//! let mut queue = queue::Queue::new(queue::Limits::new(1, 8));
//! let now = time::Instant::now();
//! let job = queue::Job::new(7, "summary", "team-a").cost(200);
//! let admission = queue.offer(now, job, "the request");
//! assert!(matches!(admission.decision, queue::Decision::Run(_)));
//! ```

pub mod balancer;
pub mod cost;
pub mod limits;
pub mod plan;
pub mod queue;
pub mod retry;
