//! The interface that takes usage reports.

use std::time;

use azuregap_core::ids;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::call;
use crate::error;

/// A usage report of one window, posted as JSON to `/reports`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window since the epoch.
    pub window: u64,
    /// Fencing token of the lease it is sent under.
    pub fence: ids::Fence,
    /// The frozen report, the same bytes at every resend.
    pub text: Bytes,
}

/// The intake has the report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportTaken {
    /// The window.
    pub window: u64,
}

/// Carries one call.
pub type UsageCarrier = call::Carrier<UsageReport, ReportTaken>;

/// Client of the usage intake.
#[derive(Clone, Debug)]
pub struct UsageIntake {
    carrier: UsageCarrier,
}

impl UsageIntake {
    /// A client whose reports are carried by `carry`.
    pub fn new<F>(carry: impl Fn(UsageReport) -> F + 'static) -> Self
    where
        F: Future<Output = error::PlatformResult<ReportTaken>> + 'static,
    {
        Self { carrier: call::Carrier::new(carry) }
    }

    /// A client over HTTP to the intake at `base`.
    #[must_use]
    pub fn http(base: impl Into<String>, timeout: time::Duration) -> Self {
        Self { carrier: call::Carrier::http(format!("{}/reports", base.into()), timeout) }
    }

    /// Sends a report.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the intake did not acknowledge it.
    pub async fn send(&self, report: UsageReport) -> error::PlatformResult<ReportTaken> {
        self.carrier.call(report).await
    }
}
