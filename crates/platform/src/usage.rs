//! The interface that takes usage reports.

use std::fmt;
use std::rc;
use std::time;

use azuregap_core::ids;
use bytes::Bytes;
use futures::future;
use futures::future::FutureExt as _;
use serde::Deserialize;
use serde::Serialize;

use crate::error;
use crate::http;

/// A usage report of one window, posted as JSON to `/reports`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of the window since the epoch.
    pub window: u64,
    /// Fencing number of the lease it is sent under.
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

/// Carries one report.
pub type UsageCarrier = rc::Rc<
    dyn Fn(UsageReport) -> future::LocalBoxFuture<'static, error::PlatformResult<ReportTaken>>,
>;

/// Client of the usage intake.
#[derive(Clone)]
pub struct UsageIntake {
    carry: UsageCarrier,
}

impl fmt::Debug for UsageIntake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UsageIntake").finish_non_exhaustive()
    }
}

impl UsageIntake {
    /// A client whose reports are carried by `carry`.
    pub fn new<F>(carry: impl Fn(UsageReport) -> F + 'static) -> Self
    where
        F: Future<Output = error::PlatformResult<ReportTaken>> + 'static,
    {
        Self { carry: rc::Rc::new(move |report| carry(report).boxed_local()) }
    }

    /// A client over HTTP to the intake at `base`.
    #[must_use]
    pub fn http(base: impl Into<String>, timeout: time::Duration) -> Self {
        let url = format!("{}/reports", base.into());
        let client = awc::Client::default();
        Self::new(move |report| {
            let (client, url) = (client.clone(), url.clone());
            async move { http::post(&client, &url, &report, timeout).await }
        })
    }

    /// Sends a report.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the intake did not acknowledge it.
    pub async fn send(&self, report: UsageReport) -> error::PlatformResult<ReportTaken> {
        (self.carry)(report).await
    }
}
