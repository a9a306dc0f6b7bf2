//! Keeps a request that crashes backend servers from them, and records what its attempts show about it
//! and its prompt; see [`crate::decision::quarantine`].

use std::future;
use std::io;
use std::net;
use std::time::Duration;

use http::header;
use tokio::time;

use super::attempt;
use super::dispatch;
use super::interruption;
use super::pool;
use crate::codec;
use crate::cold_servers;
use crate::decision::failure;
use crate::decision::quarantine;
use crate::decision::quarantine::turn;
use crate::directory;
use crate::request_digest;
use crate::state;
use crate::suspects;

/// Time for a connection to show whether a backend server has ended: its VM refuses it at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Time within which a process that ends closes its connections and its port.
const ENDING_TIME: Duration = Duration::from_millis(50);

/// `Retry-After` base for a request that isn't sent to the last backend server.
const LAST_SERVER_RETRY: Duration = Duration::from_secs(1);

/// What a new connection shows about a backend server.
enum Probe {
    /// Its process has ended: its VM refuses the connection.
    Ended,
    Accepted(pool::Connection),
    Unknown,
}

async fn probe(state: &state::State, address: net::SocketAddr) -> Probe {
    match time::timeout(PROBE_TIMEOUT, state.pool.connect(address)).await {
        Ok(Ok(connection)) => {
            state.metrics.connections.inc();
            Probe::Accepted(connection)
        }
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Probe::Ended,
        Ok(Err(_)) | Err(_) => Probe::Unknown,
    }
}

impl dispatch::ProxyRequest {
    /// Digest by which the request is known if it comes again.
    pub(super) fn digest(&self) -> request_digest::RequestDigest {
        *self.digest.get_or_init(|| self.identity().digest())
    }

    /// The identity of the request.
    fn identity(&self) -> request_digest::Identity<'_> {
        let head = &self.head;
        let host = head.headers.get(header::HOST).and_then(|host| host.to_str().ok());
        request_digest::Identity {
            method: head.method.as_str(),
            host: host.or_else(|| head.uri.host()).unwrap_or_default(),
            target: head.uri.path_and_query().map_or("", |target| target.as_str()),
            team: self.admitted.team.as_deref(),
            body: &self.body,
        }
    }

    /// Segments of the prompt that other requests may share.
    pub(super) fn shared_segments(&self) -> &[codec::Segment] {
        codec::shared_segments(&self.admitted.headers.segments)
    }

    /// Suspects that the request has part in if it crashes backend servers.
    fn suspects(&self) -> quarantine::Suspects {
        let segments = self.shared_segments().iter();
        let segments = segments.map(|segment| quarantine::SuspectId::Segment(segment.id));
        segments.chain([quarantine::SuspectId::Request(self.digest())]).collect()
    }

    /// Those of its suspects that may have been part of crashes: without the request itself if no
    /// request is suspected, so that no digest is computed.
    pub(super) fn known_suspects(&self) -> quarantine::Suspects {
        if self.state.quarantine.borrow().suspects_requests() {
            return self.suspects();
        }
        let segments = self.shared_segments().iter();
        segments.map(|segment| quarantine::SuspectId::Segment(segment.id)).collect()
    }

    /// Records that the request was interrupted before the end of its answer, if its backend server may
    /// have ended. Every interruption passes here.
    pub(super) async fn record_interruption(
        &self,
        target: &attempt::Target,
        interruption: &interruption::Interruption,
    ) {
        if interruption.is_disconnect() {
            self.record_loss(target).await;
        }
    }

    /// Records that the request lost its connection, and whether its backend server has ended. One
    /// that is alive may end connections too.
    async fn record_loss(&self, target: &attempt::Target) {
        cold_servers::record_loss(&self.state, &self.admitted.service, &target.id);
        let crash = self.crash_at(target);
        let mut suspects = self.suspects();
        if self.is_proven() {
            suspects.retain(|id| id.is_request());
        }
        match probe(&self.state, target.address).await {
            Probe::Ended => self.record_crash(target, &suspects, crash),
            Probe::Accepted(connection) => {
                let (request, target) = (self.clone(), target.clone());
                let watch =
                    async move { request.watch_end(&target, connection, &suspects, crash).await };
                actix_rt::spawn(watch);
            }
            Probe::Unknown => self.log_loss(target, false),
        }
    }

    /// Waits until a backend server has ended that accepted a connection after the request was lost, as
    /// one does whose connections end before its port is closed.
    async fn watch_end(
        &self,
        target: &attempt::Target,
        connection: pool::Connection,
        suspects: &[quarantine::SuspectId],
        crash: quarantine::Crash,
    ) {
        time::sleep(ENDING_TIME).await;
        let connection = if connection.sender.is_closed() {
            match probe(&self.state, target.address).await {
                Probe::Ended => return self.record_crash(target, suspects, crash),
                Probe::Accepted(connection) => Some(connection),
                Probe::Unknown => None,
            }
        } else {
            Some(connection)
        };
        self.log_loss(target, false);
        if let Some(connection) = connection {
            self.state.pool.put(target.address, connection, None);
        }
    }

    /// Records that the backend server has ended while it had the request. One that was known to leave,
    /// or to have been replaced, has not crashed.
    fn record_crash(
        &self,
        target: &attempt::Target,
        suspects: &[quarantine::SuspectId],
        crash: quarantine::Crash,
    ) {
        let state = &self.state;
        self.log_loss(target, true);
        if !state.directory.borrow().has_run(&target.id, target.started_ms) {
            return;
        }
        state.metrics.lost_prompts.inc();
        let answered_at = state.answered.borrow().last(self.identity().hash(state.hash_seed));
        if let Some(at) = answered_at {
            let id = quarantine::SuspectId::Request(self.digest());
            state.quarantine.borrow_mut().remember_answer(id, at);
        }
        suspects::record_crash(state, suspects, crash);
    }

    /// A crash of a backend server now, while it has the request.
    fn crash_at(&self, target: &attempt::Target) -> quarantine::Crash {
        quarantine::Crash {
            backend_hash: directory::id_hash(&target.id),
            started_ms: target.started_ms,
            sent_at: self.sent_at,
            at: self.state.time_of_day(),
        }
    }

    /// Ends a request that a backend server has, which may go on with it.
    pub(super) fn withdraw(
        &self,
        rejection: &quarantine::Rejection,
        target: &attempt::Target,
    ) -> dispatch::RequestFailure {
        let crash = self.crash_at(target);
        self.state.quarantine.borrow_mut().record_withdrawal(rejection.suspect, crash);
        self.reject(rejection)
    }

    /// Whether the answer has gone on for so long that its prompt is sound.
    pub(super) fn is_proven(&self) -> bool {
        let age = self.first_byte.map(|first| self.started.elapsed().saturating_sub(first));
        age.is_some_and(|age| age >= quarantine::PROBATION)
    }

    /// Records that the answer shows that its prompt is sound, once.
    pub(super) fn record_proof(&mut self) {
        if std::mem::replace(&mut self.is_recorded, true) {
            return;
        }
        let mut suspects = self.known_suspects();
        suspects.retain(|id| !id.is_request());
        suspects::record_answer(&self.state, &suspects, self.began_at);
    }

    /// Records that the answer is complete.
    pub(super) fn record_answer(&mut self) {
        self.is_recorded = true;
        let hash = self.identity().hash(self.state.hash_seed);
        self.state.answered.borrow_mut().record(hash, self.began_at);
        suspects::record_answer(&self.state, &self.known_suspects(), self.began_at);
    }

    /// Decides whether the request may be sent.
    ///
    /// # Errors
    ///
    /// If it crashes backend servers, or its prompt does.
    pub(super) fn screen(&self) -> Result<quarantine::Admission, dispatch::RequestFailure> {
        let now = self.state.time_of_day();
        let suspects = self.known_suspects();
        if self.is_too_risky(&suspects) {
            let reason = "it lost a backend server and only one is left".to_owned();
            return Err(self.failure(LAST_SERVER_RETRY, reason));
        }
        let rejection = self.state.quarantine.borrow().find_rejection(&suspects, now);
        let Some(rejection) = rejection else { return Ok(quarantine::Admission::Normal) };
        if !rejection.time_left.is_zero() {
            return Err(self.reject(&rejection));
        }
        if self.state.may_try(&rejection.suspect) {
            return Ok(quarantine::Admission::Trial);
        }
        let time_left = turn::time_left(now);
        Err(self.reject(&quarantine::Rejection { time_left, ..rejection }))
    }

    /// Whether the request might crash the last backend server of its service.
    fn is_too_risky(&self, suspects: &[quarantine::SuspectId]) -> bool {
        let quarantine = self.state.quarantine.borrow();
        if !quarantine.has_lost(suspects) {
            return false;
        }
        let directory = self.state.directory.borrow();
        let (mut known, mut living) = (0, 0);
        for server in directory.of_service(&self.admitted.service) {
            known += 1;
            let has_ended = quarantine.has_ended(server.hash, server.backend.started_ms);
            living += usize::from(!has_ended);
        }
        !quarantine.may_risk(suspects, living, known)
    }

    /// Records that the request is sent as a trial, if it is one.
    pub(super) fn begin_trial(&self) {
        if self.admission == quarantine::Admission::Normal {
            return;
        }
        let (suspects, now) = (self.known_suspects(), self.state.time_of_day());
        let admitted = self.state.quarantine.borrow_mut().admit(&suspects, now);
        self.state.metrics.crash_trials.inc();
        let digest = self.digest().to_string();
        let request = &self.admitted.headers.id;
        tracing::info!(request, digest, ?admitted, "trial of a suspect of crashes");
    }

    /// Waits until the request or its prompt is known to crash backend servers, while it waits for
    /// its first event. A trial waits for ever.
    pub(super) async fn wait_for_rejection(&self) -> quarantine::Rejection {
        if self.admission == quarantine::Admission::Trial {
            return future::pending().await;
        }
        let mut changes = self.state.news.subscribe();
        loop {
            let now = self.state.time_of_day();
            let suspects = self.known_suspects();
            let rejection = self.state.quarantine.borrow().find_rejection(&suspects, now);
            if let Some(rejection) = rejection.filter(|rejection| rejection.is_guilty) {
                return rejection;
            }
            // The sender is part of the state, so the channel stays open.
            let _ = changes.changed().await;
        }
    }

    /// Ends a request that is kept from backend servers.
    pub(super) fn reject(&self, rejection: &quarantine::Rejection) -> dispatch::RequestFailure {
        let (kind, suspect) = (rejection.suspect.kind(), rejection.suspect.to_string());
        if rejection.is_first {
            tracing::warn!(
                kind,
                suspect,
                crashes = rejection.crashes,
                is_guilty = rejection.is_guilty,
                path = self.head.uri.path(),
                team = self.admitted.team,
                service = self.admitted.service,
                hold_ms = rejection.time_left.as_millis() as u64,
                "suspect of crashes is kept from backend servers"
            );
            self.state.quarantine.borrow_mut().mark_rejected(&rejection.suspect);
            self.state.announce_news();
        }
        self.state.metrics.quarantine_rejections.inc();
        let reason = format!("{kind} {suspect} crashed {} backend servers", rejection.crashes);
        let failure = self.failure(rejection.time_left, reason);
        match failure.kind {
            failure::Failure::NotExecuted => {
                dispatch::RequestFailure { kind: failure::Failure::Quarantined, ..failure }
            }
            _ => failure,
        }
    }
}
