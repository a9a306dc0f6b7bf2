//! Translation between the names of a deployment and the types of the gateway.

use std::net;
use std::time::Duration;

use azuregap_core::ids;
use http::HeaderMap;
use quick_error::quick_error;
use smallvec::SmallVec;

use crate::configuration;
use crate::decision::backend_limit;
use crate::decision::priority;
use crate::directory;

quick_error! {
    /// Error of a decoding function.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CodecError {
        /// A header is missing or malformed.
        Header(name: &'static str) {
            display("6201: the header '{}' is missing or malformed", name)
        }
        /// A stored document can't be decoded.
        Document(reason: String) {
            display("6202: {}", reason)
        }
    }
}

/// Id of a prompt segment, equal in all requests that share the segment.
pub type SegmentId = u64;

/// A segment of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Id of the segment.
    pub id: SegmentId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Segments of a prompt, in order.
pub type Segments = SmallVec<[Segment; 4]>;

/// The segments that other requests may share: all but the last one, which is the request's own.
#[must_use]
pub fn shared_segments(segments: &[Segment]) -> &[Segment] {
    &segments[..segments.len().saturating_sub(1)]
}

/// Decoded headers of a client's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHeaders {
    /// Id that the client gave this attempt, as sent.
    pub id: String,
    /// How long the client waits for the response.
    pub timeout: Option<Duration>,
    /// API key of the client.
    pub api_key: Option<String>,
    /// Segments of the prompt.
    pub segments: Segments,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Id of the last event that the client received, if it resumes a stream.
    pub last_event: Option<u64>,
}

/// Headers that the gateway sets on a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamHeaders {
    /// Time left for the response.
    pub timeout: Duration,
    /// Id of the backend server that the request is sent to.
    pub backend: ids::BackendId,
    /// Team that the API key of the request belongs to.
    pub team: Option<ids::TeamId>,
    /// Scheduling rank at the backend server; 0 is served first.
    pub rank: priority::Rank,
    /// Id of the last event that was relayed, if a stream is resumed.
    pub last_event: Option<u64>,
    /// Address of a backend server from which the KV cache of shared segments is fetched.
    pub fetch_source: Option<net::SocketAddr>,
}

/// Decoded headers of a backend server's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHeaders {
    /// Id of the request that the response belongs to.
    pub id: Option<String>,
    /// Whether the backend server signed the response.
    pub signed: bool,
    /// Whether the backend server states that it did not execute the request.
    pub not_executed: bool,
    /// Idle timeout of the connection, if the backend server announces one.
    pub idle_timeout: Option<Duration>,
    /// Whether the backend server closes the connection after this response.
    pub closes_connection: bool,
    /// Whether the backend server is leaving; it must get no new requests.
    pub leaving: bool,
    /// For how long the backend server wants no requests, if it rejected this one and says so.
    pub quiet_for: Option<Duration>,
    /// How many requests the backend server takes, if it names a limit.
    pub limit: backend_limit::NamedLimit,
}

/// A team and the number of its requests in a usage window.
pub type TeamCount = (ids::TeamId, u64);

/// A usage report for one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the usage window.
    pub window: u64,
    /// Encoded report.
    pub body: Vec<u8>,
    /// Fencing token of the lease under which the report is sent.
    pub fence: ids::Fence,
}

/// Functions that translate the names of one deployment.
#[derive(Clone, Copy, Debug)]
pub struct Codec {
    /// Decodes the headers of a client's request.
    pub decode_request: fn(&HeaderMap) -> Result<RequestHeaders, CodecError>,
    /// Removes headers that a backend server must not receive and sets those it needs.
    pub rewrite_headers: fn(&mut HeaderMap, &UpstreamHeaders),
    /// Decodes the headers of a backend server's response.
    pub decode_response: fn(&HeaderMap) -> ResponseHeaders,
    /// Decodes the operator's configuration.
    pub decode_configuration: fn(&[u8]) -> Result<configuration::Configuration, CodecError>,
    /// Decodes the key of a row in the configuration's table; `None` if it withdraws no availability
    /// zone, fails if it can't be told which one.
    pub decode_withdrawal: fn(&str) -> Result<Option<ids::ZoneId>, CodecError>,
    /// Decodes the registry entry of a backend server with the given id; fails if it is not usable.
    pub decode_backend: fn(&str, &[u8]) -> Result<directory::Backend, CodecError>,
    /// Encodes the counts of a usage window as the body of a report.
    pub encode_usage: fn(u64, &[TeamCount]) -> Vec<u8>,
    /// Key of the row that holds the configuration.
    pub configuration_key: &'static str,
}

/// Address of a process.
pub type Address = net::SocketAddr;
