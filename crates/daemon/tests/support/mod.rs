//! A small deployment of real processes around in-process stand-ins.

#![allow(dead_code, unused_imports, reason = "every test file uses a part")]

mod caller;
mod cluster;
mod daemon;
mod detour;
mod documents;

pub(crate) use caller::Caller;
pub(crate) use caller::Reply;
pub(crate) use caller::answer;
pub(crate) use caller::eventually;
pub(crate) use cluster::Cluster;
pub(crate) use cluster::Shape;
pub(crate) use daemon::Daemon;
pub(crate) use documents::Document;
pub(crate) use documents::KEY;
pub(crate) use documents::MODEL;
pub(crate) use documents::OTHER_KEY;
