//! Identity of this process.

use azuregap_core::ids;
use azuregap_wire::control;

/// Name, incarnation, zone and role of this process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// The description that is sent to peers.
    pub peer: control::Peer,
}

impl Process {
    /// Creates a process with a random incarnation.
    #[must_use]
    pub fn new(
        node: impl Into<ids::NodeId>,
        zone: impl Into<ids::ZoneId>,
        control: impl ToString,
        role: control::Role,
    ) -> Self {
        let peer = control::Peer {
            node: node.into(),
            incarnation: rand::random(),
            zone: zone.into(),
            control: control.to_string(),
            role,
        };
        Self { peer }
    }

    /// Builds a control message sent by this process.
    #[must_use]
    pub fn message(&self, version: ids::Version, body: control::Body) -> control::Message {
        control::Message {
            protocol: azuregap_wire::PROTOCOL,
            from: self.peer.node.clone(),
            incarnation: self.peer.incarnation,
            version,
            body,
        }
    }
}
