//! Control messages: configuration dissemination, membership, orders to agents and copies of
//! usage records.

use azuregap_core::code;
use azuregap_core::ids;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::frame;

/// A control message.
///
/// Every message carries the sender and its configuration version, so that a process with an
/// older version learns of the newer one from any message.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// Protocol version, see [`crate::PROTOCOL`].
    pub protocol: u16,
    /// Name of the sender.
    pub from: ids::NodeId,
    /// Incarnation of the sender.
    pub incarnation: ids::Incarnation,
    /// Configuration version of the sender.
    pub version: ids::Version,
    /// Content of the message.
    pub body: Body,
}

/// Body of a control message, either a request or a reply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Announces the sender; the reply is `Greeted`.
    Hello(Peer),
    /// Reply to `Hello`.
    Greeted {
        /// The replying process.
        peer: Peer,
        /// Other processes that it knows, limited in number.
        known: Vec<Peer>,
    },
    /// Requests the configuration if the receiver has a newer version than the sender.
    ConfigurationWanted,
    /// A configuration, as the committed JSON text.
    Configuration {
        /// Version of the configuration.
        version: ids::Version,
        /// Committed JSON text.
        text: Bytes,
        /// Time since the sender last confirmed that its configuration is current, in milliseconds.
        age_ms: u64,
    },
    /// The receiver has no newer configuration.
    UpToDate {
        /// Time since the sender last confirmed that its configuration is current, in milliseconds.
        age_ms: u64,
    },
    /// An order for the backend server of an agent.
    Order(Order),
    /// The order took effect, now or earlier.
    OrderDone {
        /// Id of the order.
        id: ids::OrderId,
    },
    /// Copies of usage records, sent from an agent to an entry, or back after the agent failed.
    Usage(Vec<UsageRecord>),
    /// The usage records are durable, so their copies may be dropped.
    UsageDurable {
        /// Ids of the requests whose records are durable.
        ids: Vec<ids::RequestId>,
    },
    /// Queries the remaining work of the agent's backend server.
    DrainState,
    /// Reply to `DrainState`.
    Draining {
        /// Remaining load.
        load: frame::Load,
        /// Number of usage records that are not durable yet.
        unflushed: u64,
    },
    /// The message was processed; the reply carries no data.
    Done,
    /// The message was rejected.
    Failed {
        /// Result code.
        code: code::Code,
        /// Details of the error.
        message: String,
    },
}

/// Description of a process, sent by the process itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Peer {
    /// Name of the process.
    pub node: ids::NodeId,
    /// Incarnation of the process.
    pub incarnation: ids::Incarnation,
    /// Availability zone of the process.
    pub zone: ids::ZoneId,
    /// Address for control messages, as `host:port`.
    pub control: String,
    /// Role of the process.
    pub role: Role,
}

/// Role of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Accepts callers' requests.
    Entry,
    /// Runs requests on a backend server.
    Agent {
        /// Name of the backend server.
        backend: ids::BackendId,
        /// Pool that the backend server belongs to.
        pool: ids::PoolId,
        /// Address for run requests, as `host:port`.
        run_address: String,
    },
}

/// An order for a backend server, carried out by its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Order id, unchanged when the order is resent.
    pub id: ids::OrderId,
    /// Fencing token of the lease under which the order was issued.
    pub fence: ids::Fence,
    /// Action to carry out.
    pub action: Action,
}

/// Action of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Action {
    /// Load a version of a model or adapter.
    Load {
        /// Name of the model or adapter.
        name: String,
        /// Version of the model or adapter.
        version: String,
    },
    /// Change the role of the engine, for example `prefill` or `decode`.
    Role(String),
    /// Accept no new work.
    Leave,
}

/// Usage of a request, kept until it is stored durably.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageRecord {
    /// Request id, by which duplicate records are dropped.
    pub id: ids::RequestId,
    /// Agent that recorded the usage.
    pub agent: ids::NodeId,
    /// Incarnation of the agent.
    pub incarnation: ids::Incarnation,
    /// Usage window that the record belongs to, counted from the epoch.
    pub window: u64,
    /// Team that is billed.
    pub team: ids::TeamId,
    /// Name of the route.
    pub route: String,
    /// Usage to bill.
    pub usage: frame::Usage,
}
