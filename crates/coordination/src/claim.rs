//! At-most-once execution: a claim row per idempotency key.
//!
//! # Guarantees
//!
//! Of all requests with the same key, in any number of processes, at most one is run. A retry
//! receives the stored response, or learns that the work is running, that its outcome is unknown,
//! or that the key was used for a different request. [`Outcome::NotRun`] is only returned if
//! nothing was run under the key.
//!
//! # Requirements
//!
//! * The table service applies conditional writes atomically, and reads are not stale.
//! * An agent runs a request id at most once per incarnation, and rejects dispatches that are
//!   addressed to a different incarnation.
//! * An agent reports [`RequestStatus::NotRun`] only if it certainly never ran the request id, and
//!   rejects that id from then on. Once an agent has discarded a request that it ran, it cannot
//!   distinguish an unknown id from a discarded one, and reports [`RequestStatus::Unknown`] for ids
//!   that it does not know.
//! * Rows are not deleted while a request with the key may still be in progress. An abandoned claim
//!   is marked [`ClaimState::Released`] instead, so that row versions never repeat.
//!
//! # Limits
//!
//! * If both the agent and the dispatching process crash before the response is stored, the outcome
//!   remains unknown forever, and no request with the key is run again.
//! * While the table service is unavailable no claim can be written, and new work is rejected with
//!   [`Outcome::NotAttempted`]: this request was not run, but the row that records earlier requests
//!   could not be read.

mod action;
mod body;
mod digest;
mod event;
mod header;
mod machine;
mod outcome;
mod phase;
mod reason;
mod response;
mod row;
mod state;
mod status;
mod target;

pub use action::Action;
pub use body::ResponseBody;
pub use digest::RequestDigest;
pub use event::Event;
pub use header::Header;
pub use machine::Claim;
pub use outcome::Outcome;
pub use reason::NotRunReason;
pub use response::StoredResponse;
pub use row::ClaimRow;
pub use state::ClaimState;
pub use status::RequestStatus;
pub use target::Target;
