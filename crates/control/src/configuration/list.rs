//! Keeps the VM list of a process that needs it only to find its peers.

use std::time;

use azuregap_coordination::configuration;
use azuregap_platform::vms;
use tokio::time::Instant;

use crate::mailbox;

/// Maximum interval between reads of the list.
const LIST_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// Refreshes the VM list in `mailbox` periodically with jitter, and backs off while reads fail.
/// Runs until it is dropped.
pub(super) async fn poll_list(mailbox: mailbox::Mailbox, vms: vms::Vms) {
    let mut backoff =
        configuration::JitteredBackoff::new(LIST_INTERVAL, mailbox.process().peer.incarnation);
    loop {
        let next = match vms.list().await {
            Ok(list) => {
                mailbox.set_peers(list.vms);
                backoff.after_success(Instant::now())
            }
            Err(error) => {
                tracing::warn!(%error, "failed to read the VM list; keeping the previous one");
                backoff.after_failure(Instant::now())
            }
        };
        tokio::time::sleep_until(next).await;
    }
}
