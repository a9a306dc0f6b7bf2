//! Client interface of the service that receives usage reports.

use std::fmt;

use futures::future;
use quick_error::quick_error;

use crate::codec;

quick_error! {
    /// Why a report was not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum ReportError {
        /// The receiver has seen a higher fencing token: another gateway holds the lease.
        Fenced {
            display("6501: the receiver has seen a higher fencing token")
        }
        /// The report may or may not have arrived.
        Unacknowledged(reason: String) {
            display("6502: the report was not acknowledged: {}", reason)
        }
    }
}

type SendFn =
    Box<dyn Fn(codec::UsageReport) -> future::LocalBoxFuture<'static, Result<(), ReportError>>>;

/// Client of the service that receives usage reports.
pub struct UsageReporter {
    /// Sends one report and waits for its acknowledgement.
    pub send: SendFn,
}

impl fmt::Debug for UsageReporter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UsageReporter").finish_non_exhaustive()
    }
}
