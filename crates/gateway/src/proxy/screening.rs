//! Keeps a request whose prompt crashes backend servers from them, and records what its attempts show
//! about the prompt; see [`crate::decision::quarantine`].

use std::future;
use std::io;
use std::net;
use std::time::Duration;

use http::header;
use tokio::time;

use super::attempt;
use super::dispatch;
use crate::codec;
use crate::decision::failure;
use crate::decision::quarantine;
use crate::directory;
use crate::request_digest;
use crate::state;

/// Time for a connection to show whether a backend server has ended: its VM refuses it at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Whether the process of a backend server has ended. A connection that it accepts is kept for the
/// next request.
async fn has_ended(state: &state::State, address: net::SocketAddr) -> bool {
    match time::timeout(PROBE_TIMEOUT, state.pool.connect(address)).await {
        Ok(Ok(connection)) => {
            state.metrics.connections.inc();
            state.pool.put(address, connection, None);
            false
        }
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Err(_) => false,
    }
}

impl dispatch::ProxyRequest {
    /// Digest by which the request is known if it comes again.
    pub(super) fn digest(&self) -> request_digest::RequestDigest {
        let head = &self.head;
        let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        let identity = || request_digest::Identity {
            method: head.method.as_str(),
            host: host.or_else(|| head.uri.host()).unwrap_or_default(),
            target: head.uri.path_and_query().map_or("", |target| target.as_str()),
            team: self.admitted.team.as_deref(),
            body: &self.body,
        };
        *self.digest.get_or_init(|| identity().digest())
    }

    /// Segments of the prompt that other requests may share.
    pub(super) fn shared_segments(&self) -> &[codec::Segment] {
        codec::shared_segments(&self.admitted.headers.segments)
    }

    /// Records that the request lost its connection in the beginning of its answer, if the backend
    /// server has ended. One that is alive may lose connections too.
    pub(super) async fn record_loss(&self, target: &attempt::Target) {
        let (state, segments) = (&self.state, self.shared_segments());
        let has_ended = has_ended(state, target.address).await;
        self.log_loss(target, has_ended);
        if segments.is_empty() || !has_ended {
            return;
        }
        state.metrics.lost_prompts.inc();
        let (hash, now) = (directory::id_hash(&target.id), state.time_of_day());
        if state.quarantine.borrow_mut().record_crash(segments, hash, now) {
            state.announce_news();
        }
    }

    /// Whether the answer has gone on for so long that its prompt is sound.
    pub(super) fn is_proven(&self) -> bool {
        let age = self.first_byte.map(|first| self.started.elapsed().saturating_sub(first));
        age.is_some_and(|age| age >= quarantine::PROBATION)
    }

    /// Records that the answer shows that its prompt is sound, once.
    pub(super) fn record_answer(&mut self) {
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let (state, segments) = (&self.state, self.shared_segments());
        let now = state.time_of_day();
        if state.quarantine.borrow_mut().record_answer(segments, self.began_at, now) {
            state.announce_news();
        }
    }

    /// Decides whether the request may be sent.
    ///
    /// # Errors
    ///
    /// If its prompt crashes backend servers.
    pub(super) fn screen(&self) -> Result<quarantine::Admission, dispatch::RequestFailure> {
        let (segments, now) = (self.shared_segments(), self.state.time_of_day());
        let rejection = self.state.quarantine.borrow().find_rejection(segments, now);
        let is_trial = |rejection: &quarantine::Rejection| rejection.time_left.is_zero();
        if let Some(rejection) = rejection.filter(is_trial)
            && !self.state.may_try(rejection.segment)
        {
            let time_left = quarantine::TRIAL_INTERVAL;
            return Err(self.reject(&quarantine::Rejection { time_left, ..rejection }));
        }
        let admitted = self.state.quarantine.borrow_mut().admit(segments, now);
        admitted.map_err(|rejection| self.reject(&rejection))
    }

    /// Waits until the prompt is quarantined while the request waits for its first event. A request
    /// that is sent to see whether the prompt still crashes backend servers waits for ever.
    pub(super) async fn wait_for_rejection(&self) -> quarantine::Rejection {
        let segments = self.shared_segments();
        let mut changes = self.state.news.subscribe();
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
            self.state.announce_news();
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
