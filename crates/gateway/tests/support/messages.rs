//! Messages of simulated gateways.

use std::time::Duration;

use azuregap_gateway::peers;

/// A message of a gateway without load, counts and news.
pub fn empty(node: &str) -> peers::GossipMessage {
    peers::GossipMessage {
        node: node.to_owned(),
        incarnation: 1,
        wall_time: Duration::ZERO,
        loads: Vec::new(),
        counts: Vec::new(),
        cached: Vec::new(),
        news: peers::News::default(),
        limits: Vec::new(),
        is_introduction: false,
        suspects: None,
        teams: Vec::new(),
        notice: Some(peers::UsageNotice::default()),
    }
}
