//! Closes usage windows and reports them.
//!
//! The lease holder closes a window once every process that writes batches has declared it
//! complete, or after a bounded wait. It first writes a row after which no batch can be added to
//! the window, then aggregates the batches, stores the final report as text in a row, and sends
//! exactly that text until the usage intake acknowledges it. Records that become durable later
//! are billed in a later window and marked late. A request that appears twice is billed once.

mod aggregate;
mod closer;
mod cursor;
mod report;
mod row;
mod service;

pub use aggregate::aggregate;
pub use closer::WindowCloser;
pub use cursor::CURSOR_KEY;
pub use cursor::Cursor;
pub use report::Report;
pub use report::TeamUsage;
pub use row::ReportRow;
pub use row::ReportView;
pub use row::find;
pub use row::list;
pub use service::service;
