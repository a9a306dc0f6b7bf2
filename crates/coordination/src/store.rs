//! Results of table service operations.

mod outcome;
mod row;

pub use outcome::WriteOutcome;
pub use row::VersionedRow;
