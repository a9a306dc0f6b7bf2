//! Control messages: configuration spread, membership, orders through agents and usage copies.

use azuregap_core::code;
use azuregap_core::ids;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::frame;

/// A control message. Every one carries who sent it and the version it has, so that the one
/// behind learns of it from any message.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Message {
    /// Version of the protocol, see [`crate::PROTOCOL`].
    pub protocol: u16,
    /// The sender.
    pub from: ids::NodeId,
    /// The sender's incarnation.
    pub incarnation: ids::Incarnation,
    /// Version of the configuration the sender has.
    pub version: ids::Version,
    /// What it says.
    pub body: Body,
}

/// The body of a control message, request or reply.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// A greeting; answered by `Greeted`.
    Hello(Peer),
    /// The answer to a greeting, with peers the answerer knows.
    Greeted {
        /// The answerer.
        peer: Peer,
        /// Others it knows, a bounded number.
        known: Vec<Peer>,
    },
    /// Asks for the configuration if it is newer than the sender's version.
    ConfigurationWanted,
    /// A configuration, as the JSON text that was committed.
    Configuration {
        /// Its version.
        version: ids::Version,
        /// The committed text.
        text: Bytes,
        /// Age of the answerer's last proof of freshness, in milliseconds.
        age_ms: u64,
    },
    /// Nothing newer is known; carries the freshness as above.
    UpToDate {
        /// Age of the answerer's last proof of freshness, in milliseconds.
        age_ms: u64,
    },
    /// An order for the backend server beside an agent.
    Order(Order),
    /// The order took effect, now or earlier.
    OrderDone {
        /// The order.
        id: ids::OrderId,
    },
    /// Copies of usage records, from agent to entry or back after an agent died.
    Usage(Vec<UsageRecord>),
    /// These usage records are durable and may be dropped.
    UsageDurable {
        /// Requests whose records are durable.
        ids: Vec<ids::RequestId>,
    },
    /// Asks whether the agent's backend server has no work left.
    DrainState,
    /// Answer to `DrainState`.
    Draining {
        /// Load left.
        load: frame::Load,
        /// Usage records that are not durable yet.
        unflushed: u64,
    },
    /// Taken, nothing to add.
    Done,
    /// The message was not taken.
    Failed {
        /// Numbered code.
        code: code::Code,
        /// What was seen.
        message: String,
    },
}

/// What a process tells of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: ids::NodeId,
    /// Its incarnation.
    pub incarnation: ids::Incarnation,
    /// Its availability zone.
    pub zone: ids::ZoneId,
    /// `host:port` for control messages.
    pub control: String,
    /// What it does.
    pub role: Role,
}

/// Role of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Role {
    /// Takes callers' requests.
    Entry,
    /// Stands beside a backend server.
    Agent {
        /// Name of the backend server.
        backend: ids::BackendId,
        /// The pool it serves.
        pool: ids::PoolId,
        /// `host:port` for answers.
        run_address: String,
    },
}

/// An order for a backend server that goes through its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// Id, the same over all resends.
    pub id: ids::OrderId,
    /// Fencing number of the lease it was written under.
    pub fence: ids::Fence,
    /// What to do.
    pub action: Action,
}

/// What an agent's order asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Action {
    /// Load a model or adapter at a version.
    Load {
        /// Name of the model or adapter.
        name: String,
        /// Its version.
        version: String,
    },
    /// Change the role of the engine, for example `prefill` or `decode`.
    Role(String),
    /// Take no new work.
    Leave,
}

/// What one request used, kept until it is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageRecord {
    /// The request; duplicates are dropped by it.
    pub id: ids::RequestId,
    /// The agent that counted it.
    pub agent: ids::NodeId,
    /// Incarnation of that agent.
    pub incarnation: ids::Incarnation,
    /// Usage window it belongs to, as its number since the epoch.
    pub window: u64,
    /// Team billed.
    pub team: ids::TeamId,
    /// Route.
    pub route: String,
    /// What was used.
    pub usage: frame::Usage,
}
