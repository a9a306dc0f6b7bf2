//! What the table service can answer.

mod outcome;
mod stored;

pub use outcome::Outcome;
pub use stored::Stored;
