//! A small deployment of daemon processes with in-process fakes of the engines, services and
//! platform.

#![allow(dead_code, unused_imports, reason = "every test file uses a part")]

mod agent_proxy;
mod caller;
mod cluster;
mod daemon;
mod documents;

pub(crate) use caller::Caller;
pub(crate) use caller::Reply;
pub(crate) use caller::eventually;
pub(crate) use caller::expected_stream;
pub(crate) use cluster::Cluster;
pub(crate) use cluster::ClusterOptions;
pub(crate) use daemon::Daemon;
pub(crate) use documents::Document;
pub(crate) use documents::KEY;
pub(crate) use documents::MODEL;
pub(crate) use documents::OTHER_KEY;
