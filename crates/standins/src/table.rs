//! The table service.

use std::collections;
use std::ops;
use std::time;

use azuregap_platform::error;
use azuregap_platform::table;
use serde::Deserialize;
use serde::Serialize;

use crate::service;

/// Rows and what was done to them.
///
/// A deleted row starts again from version 1 when it is written anew.
#[derive(Clone, Debug, Default)]
pub struct State {
    rows: collections::BTreeMap<String, table::Row>,
    counters: Counters,
}

/// Calls answered so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counters {
    /// Reads and scans.
    pub reads: u64,
    /// Rows given out by reads and scans.
    pub rows: u64,
    /// Transactions applied.
    pub commits: u64,
    /// Transactions not applied.
    pub conflicts: u64,
    /// Rows written or deleted.
    pub writes: u64,
}

/// The table service behind its fault switches.
pub type Table = service::Service<State>;

impl State {
    /// Carries out one call.
    pub fn apply(&mut self, call: table::TableCall) -> table::TableReply {
        match call {
            table::TableCall::Read { key } => {
                let rows = self.rows.get(&key).cloned().into_iter().collect();
                self.found(rows)
            }
            table::TableCall::Scan { prefix, after, limit } => {
                let rows = self.scan(&prefix, &after, limit);
                self.found(rows)
            }
            table::TableCall::Commit(transaction) => self.commit(transaction),
        }
    }

    /// Calls answered so far.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    /// Every row, in key order.
    pub fn rows(&self) -> impl Iterator<Item = &table::Row> {
        self.rows.values()
    }

    fn found(&mut self, rows: Vec<table::Row>) -> table::TableReply {
        self.counters.reads += 1;
        self.counters.rows += rows.len() as u64;
        table::TableReply::Rows(rows)
    }

    fn scan(&self, prefix: &str, after: &str, limit: usize) -> Vec<table::Row> {
        let from =
            if after < prefix { ops::Bound::Included(prefix) } else { ops::Bound::Excluded(after) };
        self.rows
            .range::<str, _>((from, ops::Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit)
            .map(|(_, row)| row.clone())
            .collect()
    }

    fn commit(&mut self, transaction: table::Transaction) -> table::TableReply {
        let failed = |condition: &&table::Condition| {
            self.rows.get(&condition.key).map_or(0, |row| row.version) != condition.version
        };
        let failed: Vec<_> = transaction.conditions.iter().filter(failed).collect();
        if !failed.is_empty() {
            self.counters.conflicts += 1;
            let rows = failed.iter().filter_map(|condition| self.rows.get(&condition.key).cloned());
            return table::TableReply::Conflict(rows.collect());
        }
        self.counters.commits += 1;
        self.counters.writes += transaction.writes.len() as u64;
        let versions = transaction.writes.into_iter().map(|write| self.write(write)).collect();
        table::TableReply::Applied(versions)
    }

    /// Carries out one write and gives the row's new version, 0 after a deletion.
    fn write(&mut self, write: table::Write) -> u64 {
        let before = self.rows.remove(&write.key).map_or(0, |row| row.version);
        let Some(value) = write.value else { return 0 };
        let version = before + 1;
        self.rows.insert(write.key.clone(), table::Row { key: write.key, version, value });
        version
    }
}

impl Table {
    /// An in-process client that waits at most `timeout` for an answer.
    #[must_use]
    pub fn client(&self, timeout: time::Duration) -> table::Table {
        let service = self.clone();
        table::Table::new(move |call| {
            let service = service.clone();
            let effect = effect(&call);
            async move { service.call_within(timeout, effect, |state| Ok(state.apply(call))).await }
        })
    }

    /// Carries out one call that came over HTTP.
    pub(crate) async fn serve(
        &self,
        call: table::TableCall,
    ) -> error::PlatformResult<table::TableReply> {
        self.call(effect(&call), |state| Ok(state.apply(call))).await
    }
}

const fn effect(call: &table::TableCall) -> service::Effect {
    match call {
        table::TableCall::Commit(_) => service::Effect::Change,
        table::TableCall::Read { .. } | table::TableCall::Scan { .. } => service::Effect::Read,
    }
}
