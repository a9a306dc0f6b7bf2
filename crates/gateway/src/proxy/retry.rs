//! Takes retries of a request from the shared budget, and tells how much of it is used.

use tokio::time;

use super::dispatch;
use super::guards;

impl dispatch::ProxyRequest {
    /// Takes what the next send needs; returns `None` if the request may not be sent once more. Each
    /// send after the first that reached a backend server takes from the shared retry budget.
    pub(super) fn acquire_send(&self) -> Option<guards::RetryGuard> {
        let (state, service) = (&self.state, self.admitted.service.as_str());
        if self.deliveries == 0 {
            return Some(guards::RetryGuard::new(state, None));
        }
        let (fleet, now) = (state.fleet(), state.clock.now());
        let mut budget = state.retry_budget.borrow_mut();
        let grant = budget.try_acquire(service, fleet, now);
        let usage = budget.usage(service, fleet, now);
        state.metrics.record_retry(service, grant.is_some(), usage);
        if state.log_limiter.allow_failure(time::Instant::now()) {
            tracing::info!(
                request = self.admitted.headers.id,
                service,
                granted = grant.is_some(),
                used = usage.used,
                allowed = usage.allowed,
                gateways = fleet.gateways,
                standing = fleet.standing.name(),
                "retry decision"
            );
        }
        grant.map(|grant| guards::RetryGuard::new(state, Some(grant)))
    }
}
