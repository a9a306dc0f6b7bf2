//! Translation between a deployment's names and the gateway's types.

use std::net;
use std::time::Duration;

use azuregap_core::ids;
use http::HeaderMap;
use quick_error::quick_error;
use smallvec::SmallVec;

use crate::configuration;
use crate::decision::priority;
use crate::directory;

quick_error! {
    /// Why something could not be decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CodecError {
        /// A header is missing or malformed.
        Header(name: &'static str) {
            display("6201: the header '{}' is missing or malformed", name)
        }
        /// A document is not what it should be.
        Document(reason: String) {
            display("6202: {}", reason)
        }
    }
}

/// Id of a part of a prompt that requests share.
pub type PartId = u64;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Which part.
    pub id: PartId,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Parts of a prompt in their order.
pub type Parts = SmallVec<[Part; 4]>;

/// What a caller's headers say of its request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ask {
    /// Id of this attempt of the caller, as sent.
    pub id: String,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The caller's key.
    pub key: Option<String>,
    /// Shared parts of the prompt.
    pub parts: Parts,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of the last event that the caller has, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// What the gateway tells a backend server with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// Time left for the answer.
    pub left: Duration,
    /// Backend server that the request is for.
    pub backend: ids::BackendId,
    /// Team whose key came with the request.
    pub team: Option<ids::TeamId>,
    /// Place of the request in the order of the backend server's work.
    pub rank: priority::Rank,
    /// Number of the last event that was relayed, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// What the headers of an answer say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Marks {
    /// Id of the request that the answer belongs to.
    pub id: Option<String>,
    /// Whether the backend server signed the answer.
    pub signed: bool,
    /// Whether the backend server says that it did not run the request.
    pub not_run: bool,
    /// How long an idle connection stays open, if the backend server says so.
    pub idle: Option<Duration>,
    /// Whether the connection ends with this answer.
    pub closes: bool,
}

/// A team and its requests in a window.
pub type TeamCount = (ids::TeamId, u64);

/// One usage report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// The report as it is sent.
    pub body: Vec<u8>,
    /// Fencing number under which it is sent.
    pub fence: ids::Fence,
}

/// Functions that know a deployment's names.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Decodes a caller's headers.
    pub ask: fn(&HeaderMap) -> Result<Ask, CodecError>,
    /// Removes what a backend server must not see and adds what it must.
    pub stamp: fn(&mut HeaderMap, &Stamp),
    /// Decodes the headers of an answer.
    pub marks: fn(&HeaderMap) -> Marks,
    /// Decodes the operator's configuration.
    pub configuration: fn(&[u8]) -> Result<configuration::Configuration, CodecError>,
    /// Decodes the entry of a backend server; none if it isn't one to use.
    pub backend: fn(&str, &[u8]) -> Result<directory::Backend, CodecError>,
    /// Encodes the counts of a window.
    pub usage: fn(u64, &[TeamCount]) -> Vec<u8>,
    /// Key of the configuration's row.
    pub configuration_key: &'static str,
}

/// Address of a process.
pub type Address = net::SocketAddr;
