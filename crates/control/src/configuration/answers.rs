//! Replies to configuration requests, and processing of replies from peers.

use std::time;

use azuregap_core::code;
use azuregap_core::intent;
use azuregap_core::settings;
use azuregap_wire::control;
use bytes::Bytes;

use crate::mailbox;
use crate::snapshot;

/// Registers the handler of configuration requests.
///
/// A reply states that the sender has accepted nothing newer than its active version. A process
/// that does not know the outcome of one of its own changes therefore replies with an error.
pub(super) fn register_handler(mailbox: &mailbox::Mailbox) {
    let (snapshot, unresolved) = (mailbox.snapshot(), mailbox.unresolved_changes());
    mailbox.add_handler(move |message| {
        let control::Body::ConfigurationWanted = &message.body else { return None };
        if unresolved.any() {
            let reason = "a change of this process is not settled";
            return Some(mailbox::error_body(code::Code::StoreUnavailable, reason));
        }
        Some(configuration_reply(&snapshot, message.version))
    });
}

fn configuration_reply(snapshot: &snapshot::Handle, peer_version: u64) -> control::Body {
    let age_ms = u64::try_from(snapshot.age().as_millis()).unwrap_or(u64::MAX);
    let current = snapshot.load();
    if current.version <= peer_version {
        return control::Body::UpToDate { age_ms };
    }
    match serde_json::to_vec(&current.intent) {
        Ok(text) => {
            let (version, text) = (current.version, Bytes::from(text));
            control::Body::Configuration { version, text, age_ms }
        }
        Err(error) => mailbox::error_body(code::Code::Internal, error.to_string()),
    }
}

/// Activates the configuration in `reply` if it is newer. Returns the time since the peer last knew
/// that its version was the newest, or `None` if the reply holds no usable configuration.
pub(super) fn apply_reply(
    snapshot: &snapshot::Handle,
    reply: &control::Message,
) -> Option<time::Duration> {
    match &reply.body {
        control::Body::UpToDate { age_ms } => Some(time::Duration::from_millis(*age_ms)),
        control::Body::Configuration { version, text, age_ms } => {
            let text = std::str::from_utf8(text).ok()?;
            let intent: intent::Intent = settings::from_text(text).ok()?;
            if snapshot.advance(snapshot::Snapshot::new(*version, intent)) {
                tracing::info!(version, from = reply.from, "configuration in force");
            }
            Some(time::Duration::from_millis(*age_ms))
        }
        _ => None,
    }
}
