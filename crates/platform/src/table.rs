//! The transactional table service.

use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::call;
use crate::error;

/// A row: a JSON value under a key, with a version that each write moves on.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Row {
    /// Key; keys sort bytewise.
    pub key: String,
    /// Version, from 1.
    pub version: u64,
    /// Value.
    pub value: serde_json::Value,
}

/// What must hold for a transaction to be applied.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Version the row must have; 0 means it must not exist.
    pub version: u64,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New value; none deletes the row.
    pub value: Option<serde_json::Value>,
}

/// Conditions and writes that are applied together or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Transaction {
    /// Every condition must hold.
    pub conditions: Vec<Condition>,
    /// The writes.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// A transaction that does nothing yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires `key` to be at `version`; 0 means absent.
    #[must_use]
    pub fn check(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Writes `value` under `key`.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: serde_json::Value) -> Self {
        self.writes.push(Write { key: key.into(), value: Some(value) });
        self
    }

    /// Deletes `key`.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}

/// A call to the table service, posted as JSON to `/table`.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableCall {
    /// Reads one row.
    Read {
        /// Its key.
        key: String,
    },
    /// Reads rows in key order.
    Scan {
        /// Only keys that start so.
        prefix: String,
        /// Only keys after this one; empty means from the start.
        after: String,
        /// At most so many.
        limit: usize,
    },
    /// Applies a transaction.
    Commit(Transaction),
}

/// The answer of the table service.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableReply {
    /// Rows found.
    Rows(Vec<Row>),
    /// The transaction was applied; the new versions of the rows written, in their order.
    Applied(Vec<u64>),
    /// A condition did not hold; nothing was applied. The present rows of the failed conditions.
    Conflict(Vec<Row>),
}

/// Outcome of a commit that was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Commit {
    /// Applied; new versions in the order of the writes.
    Applied(Vec<u64>),
    /// Not applied; the rows whose conditions failed, as far as they exist.
    Conflict(Vec<Row>),
}

/// Carries one call.
pub type TableCarrier = call::Carrier<TableCall, TableReply>;

/// Client of the table service.
#[derive(Clone, Debug)]
pub struct Table {
    carrier: TableCarrier,
}

impl Table {
    /// A client whose calls are carried by `carry`.
    pub fn new<F>(carry: impl Fn(TableCall) -> F + 'static) -> Self
    where
        F: Future<Output = error::PlatformResult<TableReply>> + 'static,
    {
        Self { carrier: call::Carrier::new(carry) }
    }

    /// A client over HTTP to the service at `base`.
    #[must_use]
    pub fn http(base: impl Into<String>, timeout: time::Duration) -> Self {
        Self { carrier: call::Carrier::http(format!("{}/table", base.into()), timeout) }
    }

    /// Reads the row at `key`.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the service gave no result.
    pub async fn read(&self, key: impl Into<String>) -> error::PlatformResult<Option<Row>> {
        let rows = self.rows(TableCall::Read { key: key.into() }).await?;
        Ok(rows.into_iter().next())
    }

    /// Reads at most `limit` rows whose keys start with `prefix` and sort after `after`.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the service gave no result.
    pub async fn scan(
        &self,
        prefix: impl Into<String>,
        after: impl Into<String>,
        limit: usize,
    ) -> error::PlatformResult<Vec<Row>> {
        self.rows(TableCall::Scan { prefix: prefix.into(), after: after.into(), limit }).await
    }

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] when it certainly was not applied,
    /// [`error::PlatformError::Unknown`] when it may have been.
    pub async fn commit(&self, transaction: Transaction) -> error::PlatformResult<Commit> {
        match self.carrier.call(TableCall::Commit(transaction)).await? {
            TableReply::Applied(versions) => Ok(Commit::Applied(versions)),
            TableReply::Conflict(rows) => Ok(Commit::Conflict(rows)),
            TableReply::Rows(_) => Err(error::unexpected()),
        }
    }

    async fn rows(&self, call: TableCall) -> error::PlatformResult<Vec<Row>> {
        match self.carrier.call(call).await? {
            TableReply::Rows(rows) => Ok(rows),
            TableReply::Applied(_) | TableReply::Conflict(_) => Err(error::unexpected()),
        }
    }
}
