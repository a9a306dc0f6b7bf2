//! Confirms the copies of an entry with the agents.

use azuregap_core::ids;
use azuregap_wire::control;
use futures::future;
use tokio::time::Instant;

use super::copies;
use super::write;
use crate::directory;
use crate::peer_client;

/// Maximum number of copies in a message.
const MAX_MESSAGE_RECORDS: usize = 2_000;

/// Asks the agents in `directory` periodically which records are durable, and takes over the copies
/// of lost agents. Runs until it is dropped.
pub async fn settle_copies(
    copies: copies::Copies,
    peers: peer_client::PeerClient,
    directory: directory::Directory,
) {
    loop {
        tokio::time::sleep(write::FLUSH_INTERVAL).await;
        let agents = directory.load();
        let find = |node: &str, incarnation: ids::Incarnation| {
            agents.iter().find(|agent| agent.node == node && agent.incarnation == incarnation)
        };
        let confirmations =
            copies.by_source().into_iter().filter_map(|((node, incarnation), records)| {
                let agent = find(&node, incarnation)?;
                Some(confirm_with_agent(&copies, &peers, &agent.control, records))
            });
        future::join_all(confirmations).await;
        copies.adopt(|node, incarnation| find(node, incarnation).is_some(), Instant::now());
    }
}

async fn confirm_with_agent(
    copies: &copies::Copies,
    peers: &peer_client::PeerClient,
    address: &str,
    mut records: Vec<control::UsageRecord>,
) {
    records.truncate(MAX_MESSAGE_RECORDS);
    let reply = peers.request(address, control::Body::Usage(records)).await;
    if let Some(control::Message { body: control::Body::UsageDurable { ids }, .. }) = reply {
        copies.settle(&ids);
    }
}
