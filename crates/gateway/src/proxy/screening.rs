//! Keeps a request whose prompt crashes backend servers from them, and records what its attempts show
//! about the prompt; see [`crate::decision::quarantine`].

use std::future;

use super::attempt;
use super::dispatch;
use crate::codec;
use crate::decision::failure;
use crate::decision::quarantine;
use crate::directory;

impl dispatch::ProxyRequest {
    /// Segments of the prompt that other requests may share.
    pub(super) fn shared_segments(&self) -> &[codec::Segment] {
        codec::shared_segments(&self.admitted.headers.segments)
    }

    /// Records that the request lost its backend server before the first event.
    pub(super) fn record_crash(&self, target: &attempt::Target) {
        let (state, segments) = (&self.state, self.shared_segments());
        if segments.is_empty() {
            return;
        }
        state.metrics.lost_prompts.inc();
        let (hash, now) = (directory::id_hash(&target.id), state.time_of_day());
        if state.quarantine.borrow_mut().record_crash(segments, hash, now) {
            state.announce_quarantine();
        }
    }

    /// Records that the answer is complete.
    pub(super) fn record_answer(&self) {
        let (state, segments) = (&self.state, self.shared_segments());
        let now = state.time_of_day();
        if state.quarantine.borrow_mut().record_answer(segments, self.began_at, now) {
            state.announce_quarantine();
        }
    }

    /// Decides whether the request may be sent.
    ///
    /// # Errors
    ///
    /// If its prompt crashes backend servers.
    pub(super) fn screen(&self) -> Result<quarantine::Admission, dispatch::RequestFailure> {
        let now = self.state.time_of_day();
        let admitted = self.state.quarantine.borrow_mut().admit(self.shared_segments(), now);
        admitted.map_err(|rejection| self.reject(&rejection))
    }

    /// Waits until the prompt is quarantined while the request waits for its first event. A request
    /// that is sent to see whether the prompt still crashes backend servers waits for ever.
    pub(super) async fn wait_for_rejection(&self) -> quarantine::Rejection {
        let segments = self.shared_segments();
        let mut changes = self.state.quarantine_changes.subscribe();
        while self.admission == quarantine::Admission::Normal && !segments.is_empty() {
            let now = self.state.time_of_day();
            let rejection = self.state.quarantine.borrow().find_rejection(segments, now);
            if let Some(rejection) = rejection {
                return rejection;
            }
            if changes.changed().await.is_err() {
                break;
            }
        }
        future::pending().await
    }

    /// Ends a request whose prompt is quarantined.
    pub(super) fn reject(&self, rejection: &quarantine::Rejection) -> dispatch::RequestFailure {
        let segment = format!("{:x}", rejection.segment);
        if rejection.is_first {
            let hold_ms = rejection.time_left.as_millis() as u64;
            let crashes = rejection.crashes;
            tracing::warn!(segment, crashes, hold_ms, "prompt segment quarantined");
            self.state.quarantine.borrow_mut().mark_rejected(rejection.segment);
            self.state.announce_quarantine();
        }
        self.state.metrics.quarantine_rejections.inc();
        let reason = format!("segment {segment} crashed {} backend servers", rejection.crashes);
        let failure = self.failure(rejection.time_left, reason);
        match failure.kind {
            failure::Failure::NotExecuted => {
                dispatch::RequestFailure { kind: failure::Failure::Quarantined, ..failure }
            }
            _ => failure,
        }
    }
}
