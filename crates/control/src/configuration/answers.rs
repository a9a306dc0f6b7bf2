//! What a process tells others of its configuration, and takes from their answers.

use std::time;

use azuregap_core::code;
use azuregap_core::intent;
use azuregap_core::settings;
use azuregap_wire::control;
use bytes::Bytes;

use crate::mailbox;
use crate::snapshot;

/// Answers what peers ask of the configuration.
///
/// A process that does not know the outcome of a change of its own does not answer: its answer
/// says that it accepted nothing newer than what it has.
pub(super) fn answer(mailbox: &mailbox::Mailbox) {
    let (snapshot, unresolved) = (mailbox.snapshot(), mailbox.unresolved_changes());
    mailbox.add_handler(move |message| {
        let control::Body::ConfigurationWanted = &message.body else { return None };
        if unresolved.any() {
            let why = "a change of this process is not settled";
            return Some(mailbox::error_body(code::Code::StoreUnavailable, why));
        }
        Some(tell(&snapshot, message.version))
    });
}

fn tell(snapshot: &snapshot::Handle, theirs: u64) -> control::Body {
    let age_ms = u64::try_from(snapshot.age().as_millis()).unwrap_or(u64::MAX);
    let current = snapshot.load();
    if current.version <= theirs {
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

/// Takes an answer; the age of the peer's proof if the peer has nothing newer than this process.
pub(super) fn take(
    snapshot: &snapshot::Handle,
    answer: &control::Message,
) -> Option<time::Duration> {
    match &answer.body {
        control::Body::UpToDate { age_ms } => Some(time::Duration::from_millis(*age_ms)),
        control::Body::Configuration { version, text, age_ms } => {
            let text = std::str::from_utf8(text).ok()?;
            let intent: intent::Intent = settings::from_text(text).ok()?;
            if snapshot.advance(snapshot::Snapshot::new(*version, intent)) {
                tracing::info!(version, from = answer.from, "configuration in force");
            }
            Some(time::Duration::from_millis(*age_ms))
        }
        _ => None,
    }
}
