//! What the table service can answer.

mod outcome;
mod row;

pub use outcome::WriteOutcome;
pub use row::VersionedRow;
