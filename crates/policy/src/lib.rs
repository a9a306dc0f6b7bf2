//! Pure decisions: admission, fair sharing, replica choice, retries, placement and spend.

pub mod plan;
