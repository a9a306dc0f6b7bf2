//! Work that runs at most once: a claim row per idempotency key.
//!
//! # Promise
//!
//! Of all requests that carry one key, at any number of processes, at most one is run. A repeat
//! gets the stored answer, or is told that the work is running, that its outcome is unknown, or
//! that the key was used with another body. [`Outcome::NotRun`] is given only if nothing was run
//! under the key.
//!
//! # What it needs from its surroundings
//!
//! * The table service applies a conditional write or does not, and reads are not stale.
//! * An agent runs a request id at most once in an incarnation, and refuses a dispatch that is
//!   addressed to another incarnation than its own.
//! * An agent answers [`RequestStatus::NotRun`] only if it certainly never ran the request id, and refuses
//!   that id from then on. An agent that has forgotten any request that it ran can no longer tell
//!   an unknown id from a forgotten one; it answers [`RequestStatus::Unknown`] for ids it does not know.
//! * Rows are not deleted before any request with the key could still be under way; a claim that
//!   is given up is marked [`ClaimState::Released`] instead, so that row versions never repeat.
//!
//! # Limits
//!
//! * If the agent and the process that dispatched both die before the answer is stored, the
//!   outcome stays unknown for ever; the key is never run again.
//! * While the table service is down no claim can be written, so new work is refused. Such a
//!   refusal is [`Outcome::NotAttempted`]: this request was not run, but the row that would tell of
//!   earlier ones could not be read.

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
