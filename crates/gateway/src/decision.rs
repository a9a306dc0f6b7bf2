//! Decisions of a gateway, without I/O.

pub mod arrivals;
pub mod cache;
pub mod division;
pub mod freshness;
pub mod pace;
pub mod placement;
pub mod refusal;
pub mod repeats;
pub mod rest;
pub mod rhythm;
pub mod standing;
pub mod true_time;
pub mod urgency;
pub mod windows;
