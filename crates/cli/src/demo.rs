//! The main job on embedded stand-ins, in one process on loopback.

mod cluster;
mod declare;
mod ports;
mod requests;
mod run;

pub(crate) use run::run;
