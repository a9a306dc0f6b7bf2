//! Work that runs at most once: a claim row per idempotency key.
//!
//! # Promise
//!
//! Of all requests that carry one key, at any number of processes, at most one is run. A repeat
//! gets the stored answer, or is told that the work is running, that its outcome is unknown, or
//! that the key was used with another body. [`Verdict::NotRun`] is given only if nothing was run
//! under the key.
//!
//! # What it needs from its surroundings
//!
//! * The table service applies a conditional write or does not, and reads are not stale.
//! * An agent runs a request id at most once in an incarnation, and refuses a dispatch that is
//!   addressed to another incarnation than its own.
//! * An agent answers [`Reply::NotRun`] only if it certainly never ran the request id, and refuses
//!   that id from then on. An agent that has forgotten any request that it ran can no longer tell
//!   an unknown id from a forgotten one; it answers [`Reply::Silent`] for ids it does not know.
//! * Rows are not deleted before any request with the key could still be under way; a claim that
//!   is given up is marked [`ClaimState::Released`] instead, so that row versions never repeat.
//!
//! # Limits
//!
//! * If the agent and the process that dispatched both die before the answer is stored, the
//!   outcome stays unknown for ever; the key is never run again.
//! * While the table service is down no claim can be written, so new work is refused. Such a
//!   refusal is [`Verdict::NotRunHere`]: this request was not run, but the row that would tell of
//!   earlier ones could not be read.

mod action;
mod answer;
mod body;
mod digest;
mod event;
mod header;
mod machine;
mod phase;
mod reason;
mod reply;
mod row;
mod state;
mod target;
mod verdict;

pub use action::Action;
pub use answer::StoredAnswer;
pub use body::AnswerBody;
pub use digest::BodyDigest;
pub use event::Event;
pub use header::Header;
pub use machine::Claim;
pub use reason::Reason;
pub use reply::Reply;
pub use row::ClaimRow;
pub use state::ClaimState;
pub use target::Target;
pub use verdict::Verdict;
