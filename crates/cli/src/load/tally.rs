//! Counts and histograms of one class.

use std::collections;
use std::time;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use super::call;

/// Longest time a histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 600_000_000;

/// Significant decimal digits kept.
const DIGITS: u8 = 3;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;

/// What became of the requests of one class.
#[derive(Debug)]
pub(super) struct Tally {
    sent: u64,
    unsent: u64,
    whole: u64,
    cut: u64,
    lost: u64,
    refused: collections::BTreeMap<u64, u64>,
    first: Histogram<u64>,
    gap: Histogram<u64>,
    total: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            sent: 0,
            unsent: 0,
            whole: 0,
            cut: 0,
            lost: 0,
            refused: collections::BTreeMap::new(),
            first: histogram(),
            gap: histogram(),
            total: histogram(),
        }
    }
}

impl Tally {
    /// Counts a request that was not sent because too many were under way.
    pub(super) const fn skip(&mut self) {
        self.unsent += 1;
    }

    /// Counts a request that was sent and ended; times count only for whole answers.
    pub(super) fn record(&mut self, outcome: &call::Outcome) {
        self.sent += 1;
        match outcome.ending {
            call::Ending::Whole => self.record_times(outcome),
            call::Ending::Refused(code) => *self.refused.entry(code).or_default() += 1,
            call::Ending::Cut => self.cut += 1,
            call::Ending::Lost => self.lost += 1,
        }
    }

    fn record_times(&mut self, outcome: &call::Outcome) {
        self.whole += 1;
        if let Some(first) = outcome.first {
            self.first.saturating_record(micros(first));
        }
        for gap in &outcome.gaps {
            self.gap.saturating_record(micros(*gap));
        }
        self.total.saturating_record(micros(outcome.total));
    }

    /// Whether any answer was refused, cut or lost.
    pub(super) fn is_flawed(&self) -> bool {
        self.whole < self.sent
    }

    /// One line on the counts.
    pub(super) fn counts(&self, class: &str) -> Value {
        let refused = self.refused.iter().map(|(code, count)| format!("{code}: {count}"));
        json!({
            "class": class,
            "sent": self.sent,
            "whole": self.whole,
            "cut": self.cut,
            "lost": self.lost,
            "unsent": self.unsent,
            "refused by code": refused.collect::<Vec<_>>(),
            "events": self.gap.len(),
        })
    }

    /// One line for each time measured, in milliseconds.
    pub(super) fn times(&self, class: &str) -> Vec<Value> {
        let rows = [("first byte", &self.first), ("gap", &self.gap), ("total", &self.total)];
        let measured = rows.into_iter().filter(|(_, histogram)| !histogram.is_empty());
        measured.map(|(time, histogram)| row(class, time, histogram)).collect()
    }
}

fn row(class: &str, time: &str, histogram: &Histogram<u64>) -> Value {
    let at = |quantile: f64| milliseconds(histogram.value_at_quantile(quantile));
    json!({
        "class": class,
        "time in ms": time,
        "p50": at(0.5),
        "p95": at(0.95),
        "p99": at(0.99),
        "max": milliseconds(histogram.max()),
    })
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, DIGITS).expect("the limits are fixed and sound")
}

fn micros(duration: time::Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss, reason = "histogram values are far below 2^52")]
fn milliseconds(micros: u64) -> f64 {
    micros as f64 / MICROS_PER_MS
}
