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

pub use agent::answer;
pub use agent::service;
pub use batch::Batch;
pub use batch::Inserted;
pub use copies::Copies;
pub use entry::service as copies;
pub use flush::Progress;
pub use flush::Writer;
pub use flush::flush;
pub use recorder::Recorder;
pub use settle::settle;
pub use windows::Windows;
pub use write::write;
