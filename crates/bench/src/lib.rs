//! Benches and scenario measures with regression bounds.
