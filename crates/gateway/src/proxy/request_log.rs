//! Log lines and metrics of a request's attempts and its end.

use smallvec::SmallVec;
use tokio::time;

use super::attempt;
use super::dispatch;

/// Maximum segments of a prompt in a log line.
const MAX_LOGGED_SEGMENTS: usize = 32;

impl dispatch::ProxyRequest {
    /// Logs an attempt that didn't lead to a complete response, with the shared segments of the
    /// prompt: failures at different backend servers may have one in common.
    pub(super) fn log_failed_attempt(&self, target: &attempt::Target, reason: &str) {
        if self.state.log_limiter.allow_failure(time::Instant::now()) {
            tracing::info!(
                request = self.admitted.headers.id,
                backend = target.id,
                sends = self.sends,
                runs = self.executions,
                segments = self.segments_text(),
                fetch_source = target.fetch_source.map(|address| address.to_string()),
                first_ms = self.first_byte.map(|first| first.as_millis() as u64),
                reason,
                "an attempt failed"
            );
        }
    }

    /// Logs that the connection was lost while the backend server ran the request, and whether the
    /// server has ended. Lines with the same digest are about the same request.
    pub(super) fn log_loss(&self, target: &attempt::Target, has_ended: bool) {
        if !self.state.log_limiter.allow_failure(time::Instant::now()) {
            return;
        }
        let ran_for = self.state.time_of_day().saturating_sub(self.sent_at);
        tracing::info!(
            request = self.admitted.headers.id,
            digest = self.digest().to_string(),
            path = self.head.uri.path(),
            team = self.admitted.team,
            service = self.admitted.service,
            backend = target.id,
            started_ms = target.started_ms,
            sends = self.sends,
            ran_ms = ran_for.as_millis() as u64,
            has_ended,
            "request lost at a backend server"
        );
    }

    /// Ids of the first shared segments of the prompt, for logs, and how many more there are.
    fn segments_text(&self) -> String {
        let segments = self.shared_segments();
        let ids = segments.iter().map(|segment| format!("{:x}", segment.id));
        let ids: SmallVec<[_; 4]> = ids.take(MAX_LOGGED_SEGMENTS).collect();
        match segments.len().saturating_sub(MAX_LOGGED_SEGMENTS) {
            0 => ids.join(","),
            more => format!("{}, and {more} more", ids.join(",")),
        }
    }

    /// Logs the end of the request and updates the metrics.
    pub(super) fn record_end(&self, status: u16, backend: &str, outcome: &str, reason: &str) {
        self.end_logged.set(true);
        let state = &self.state;
        let now = time::Instant::now();
        state.metrics.requests.with_label_values(&[&status.to_string()]).inc();
        state.metrics.observe_response(now.saturating_duration_since(self.started));
        if let Some(shortest) = self.shortest_gap {
            let mut rooms = state.engine_rooms.borrow_mut();
            rooms.entry(self.admitted.service.clone()).or_default().observe_event(shortest);
        }
        if let Some(tolerated) = self.admitted.route.kind.max_gap()
            && self.shortest_gap.is_some()
            && !self.is_long()
        {
            let mut partitions = state.engine_partitions.borrow_mut();
            let partition = partitions.entry(self.admitted.service.clone()).or_default();
            partition.observe_pause(self.longest_gap, tolerated);
        }
        let is_success = status < 500 && outcome == "complete";
        let may_log = if is_success {
            state.log_limiter.allow_served(now)
        } else {
            state.log_limiter.allow_failure(now)
        };
        if !may_log {
            return;
        }
        let route = &self.admitted.route;
        let age = state.freshness.borrow().age(state.clock.now()).unwrap_or_default();
        tracing::info!(
            request = self.admitted.headers.id,
            route = route.name,
            team = self.admitted.team,
            rank = self.admitted.ranks.on_time,
            service = self.admitted.service,
            configuration = self.admitted.version,
            configuration_age_ms = age.as_millis() as u64,
            backend,
            home = self.preference,
            uncached = self.uncached_tokens,
            reading = self.reading,
            room = self.room,
            prompt = self.admitted.headers.prompt_tokens,
            segments = self.segments_text(),
            sends = self.sends,
            runs = self.executions,
            status,
            outcome,
            reason,
            first_ms = self.first_byte.map(|first| first.as_millis() as u64),
            target_ms = route.latency_target.as_millis() as u64,
            max_pause_ms = route.kind.max_gap().map(|gap| gap.as_millis() as u64),
            pause_ms = self.longest_gap.as_millis() as u64,
            took_ms = now.saturating_duration_since(self.started).as_millis() as u64,
            "request ended"
        );
    }
}
