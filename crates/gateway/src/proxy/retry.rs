//! Takes retries of a request from the shared budget, and tells how much of it is used.

use tokio::time;

use super::dispatch;

impl dispatch::ProxyRequest {
    /// Whether the request may be sent once more, after the last send ended for `reason`. Each send
    /// after the first that reached a backend server takes from the shared retry budget.
    pub(super) fn acquire_send(&self, reason: &str) -> bool {
        if self.deliveries == 0 {
            return true;
        }
        let (state, service) = (&self.state, self.admitted.service.as_str());
        let (fleet, now) = (state.fleet(), time::Instant::now());
        let mut budget = state.retry_budget.borrow_mut();
        let granted = budget.try_acquire(service, fleet, now);
        let usage = budget.usage(service, fleet, now);
        state.metrics.record_retry(service, granted, usage);
        if state.log_limiter.allow_failure(now) {
            tracing::info!(
                request = self.admitted.headers.id,
                service,
                granted,
                used = usage.used,
                allowed = usage.allowed,
                gateways = fleet.gateways,
                standing = fleet.standing.name(),
                reason,
                "retry decision"
            );
        }
        granted
    }
}
