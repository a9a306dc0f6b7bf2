//! Usage records on their way from where they were counted to durable batches.
//!
//! An agent counts and writes batches; an entry keeps a copy of each record until the agent says
//! that it is durable, and writes the copies of an agent that died. Batches are fixed once tried
//! and inserted under keys of their own, so that a lost answer is harmless.

mod agent;
mod batch;
mod copies;
mod entry;
mod flush;
pub mod keys;
mod recorder;
mod settle;
mod windows;
mod write;

pub use agent::handle_messages;
pub use agent::service;
pub use batch::Batch;
pub use batch::InsertOutcome;
pub use copies::Copies;
pub use entry::service as copies_service;
pub use flush::WriterProgress;
pub use flush::WriterRow;
pub use flush::flush;
pub use recorder::Recorder;
pub use settle::settle_copies;
pub use windows::Windows;
pub use write::run_writer;
