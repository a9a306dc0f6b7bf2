//! A bounded load on an entry, measured per class.

mod call;
mod run;
mod share;
mod tally;

pub(crate) use run::run;
pub(crate) use share::Share;
pub(crate) use share::parse_duration;
pub(crate) use share::parse_share;
