//! The interface that takes usage reports.

use std::collections;
use std::time;

use azuregap_platform::error;
use azuregap_platform::usage;

use crate::service;

/// Reports that came.
#[derive(Clone, Debug, Default)]
pub struct State {
    log: Vec<usage::UsageReport>,
}

/// The usage intake behind its fault switches.
pub type Reports = service::Service<State>;

impl State {
    /// Takes one report, whatever came before it.
    pub fn apply(&mut self, report: usage::UsageReport) -> usage::ReportTaken {
        let taken = usage::ReportTaken { window: report.window };
        self.log.push(report);
        taken
    }

    /// Every report that came, in the order of arrival.
    #[must_use]
    pub fn log(&self) -> &[usage::UsageReport] {
        &self.log
    }

    /// Windows that were reported with different figures.
    #[must_use]
    pub fn differing(&self) -> collections::BTreeSet<u64> {
        let mut first = collections::HashMap::new();
        let differs = |report: &&usage::UsageReport| {
            *first.entry(report.window).or_insert_with(|| report.text.clone()) != report.text
        };
        self.log.iter().filter(differs).map(|report| report.window).collect()
    }

    /// Reports that came after one with a higher fencing number.
    #[must_use]
    pub fn regressions(&self) -> Vec<usage::UsageReport> {
        let mut highest = 0;
        let old = |report: &&usage::UsageReport| {
            let old = report.fence < highest;
            highest = highest.max(report.fence);
            old
        };
        self.log.iter().filter(old).cloned().collect()
    }
}

impl Reports {
    /// An in-process client that waits at most `timeout` for an answer.
    #[must_use]
    pub fn client(&self, timeout: time::Duration) -> usage::UsageIntake {
        let service = self.clone();
        usage::UsageIntake::new(move |report| {
            let service = service.clone();
            let take = move |state: &mut State| Ok(state.apply(report));
            async move { service.call_within(timeout, service::Effect::Change, take).await }
        })
    }

    /// Takes one report that came over HTTP.
    pub(crate) async fn serve(
        &self,
        report: usage::UsageReport,
    ) -> error::PlatformResult<usage::ReportTaken> {
        self.call(service::Effect::Change, move |state| Ok(state.apply(report))).await
    }
}
