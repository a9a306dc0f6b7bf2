//! Runs the measures and checks them against their bounds.

fn main() {}
