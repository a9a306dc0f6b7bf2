//! Keeps the list of VMs of a process that has no other use for it than finding its peers.

use std::time;

use azuregap_coordination::configuration;
use azuregap_platform::vms;
use tokio::time::Instant;

use crate::mailbox;

/// Time between two reads of the list at most.
const LIST_EVERY: time::Duration = time::Duration::from_secs(5);

/// Reads the list of VMs into `mailbox` until it is dropped, with jitter and, while it fails, less
/// and less often.
pub(super) async fn list(mailbox: mailbox::Mailbox, vms: vms::Vms) {
    let mut pace =
        configuration::JitteredBackoff::new(LIST_EVERY, mailbox.process().peer.incarnation);
    loop {
        let next = match vms.list().await {
            Ok(list) => {
                mailbox.set_peers(list.vms);
                pace.after_success(Instant::now())
            }
            Err(error) => {
                tracing::warn!(%error, "VM list not read; the last one is kept");
                pace.after_failure(Instant::now())
            }
        };
        tokio::time::sleep_until(next).await;
    }
}
