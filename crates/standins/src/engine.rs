//! A model engine with continuous batching, prefix cache and priorities.
//!
//! Answers are a function of the request alone, so a test can compare them byte for byte.

mod batch;
mod cache;
mod counters;
mod driver;
mod faults;
mod load;
mod orders;
mod request;
mod server;
mod settings;
mod text;

pub use counters::Counters;
pub use counters::RunCounters;
pub use driver::Engine;
pub use faults::EngineFaults;
pub use load::EngineLoad;
pub use orders::EngineAction;
pub use orders::EngineOrder;
pub use orders::OrderEntry;
pub use request::Event;
pub use request::Job;
pub use server::serve;
pub use settings::Settings;
pub use text::Answer;
