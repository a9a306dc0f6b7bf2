//! Usage recording: from counted requests to durable batches.
//!
//! An agent counts usage and writes it in batches. An entry keeps a copy of each record until the
//! agent confirms that it is durable, and writes the copies itself if the agent is lost. The
//! records of a batch do not change after the first insert attempt, and each batch has its own key,
//! so an insert can be retried safely if its response is lost.

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

pub use agent::register_handler;
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
