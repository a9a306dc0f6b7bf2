//! Confirming a plan.

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::settings;
use azuregap_platform::error;
use azuregap_platform::table;
use serde::Deserialize;
use serde::Serialize;

use super::desk;
use super::row;
use crate::configuration;
use crate::failure;
use crate::keys;

/// How often a confirmation is tried again after a key change came first or an answer was lost.
const ATTEMPTS: usize = 8;

/// A plan that is confirmed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmed {
    /// The plan.
    pub plan: ids::PlanId,
    /// The version it made.
    pub version: ids::Version,
}

impl desk::Desk {
    /// Puts the intent of plan `id` in force. Doing so twice is one effect.
    ///
    /// # Errors
    ///
    /// [`failure::Failure::Conflict`] when another declared intent was accepted since the plan
    /// was made, [`failure::Failure`] otherwise as named there.
    pub async fn confirm(&self, by: &str, id: &str) -> Result<Confirmed, failure::Failure> {
        let change = self.source.begin();
        let result = self.try_confirm(by, id).await;
        if !matches!(result, Err(failure::Failure::Unsettled(_))) {
            change.settle();
        }
        log(by, id, &result);
        result
    }

    async fn try_confirm(&self, by: &str, id: &str) -> Result<Confirmed, failure::Failure> {
        let mut open = None;
        for _ in 0..ATTEMPTS {
            let step = self.attempt(by, id, &mut open).await;
            match (step, &open) {
                (Ok(Some(confirmed)), _) => return Ok(confirmed),
                (Ok(None), _) => {}
                (Err(failure::Failure::Unavailable(_)), Some(lost)) => {
                    return Err(failure::Failure::Unsettled(lost.clone()));
                }
                (Err(failure), _) => return Err(failure),
            }
        }
        Err(match open {
            Some(lost) => failure::Failure::Unsettled(lost),
            None => failure::Failure::Unavailable("too many changes at once".to_owned()),
        })
    }

    /// One try; none when something came between. Every try checks the rows that it read, so
    /// that of a try whose answer was lost and the next one at most one is applied.
    async fn attempt(
        &self,
        by: &str,
        id: &str,
        open: &mut Option<String>,
    ) -> Result<Option<Confirmed>, failure::Failure> {
        let (version, plan) = self.read(id).await?;
        if let row::PlanState::Confirmed { version, .. } = plan.state {
            return Ok(Some(Confirmed { plan: plan.id, version }));
        }
        let stored = self.source.read().await.map_err(failure::Failure::unread)?;
        self.check(&plan, &stored)?;
        let row = accepted_row(by, &plan, &stored)?;
        let state = row::PlanState::Confirmed { version: row.version, by: by.to_owned() };
        let confirmed = row::PlanRow { state, ..plan };
        let key = row::plan(id);
        let transaction = table::Transaction::new()
            .check(configuration::CURRENT, stored.row)
            .check(key.clone(), version)
            .put(configuration::CURRENT, keys::value(&row).map_err(failure::Failure::unread)?)
            .put(key, keys::value(&confirmed).map_err(failure::Failure::unread)?);
        match self.source.table().commit(transaction).await {
            Ok(table::Commit::Applied(_)) => {
                self.source.apply(&row).map_err(failure::Failure::unread)?;
                Ok(Some(Confirmed { plan: confirmed.id, version: row.version }))
            }
            Ok(table::Commit::Conflict(_)) => Ok(None),
            Err(error::PlatformError::Unknown(reason)) => {
                *open = Some(reason);
                Ok(None)
            }
            Err(error) => Err(failure::Failure::unread(error)),
        }
    }

    fn check(
        &self,
        plan: &row::PlanRow,
        stored: &configuration::Stored,
    ) -> Result<(), failure::Failure> {
        let declared = &stored.value.declared;
        if declared.version > plan.base {
            return Err(failure::Failure::Conflict(failure::Conflict {
                base: plan.base,
                version: declared.version,
                by: declared.by.clone(),
                changes: declared.changes.clone(),
            }));
        }
        if self.wall.seconds() >= plan.expires {
            return Err(failure::Failure::PlanExpired(plan.id.clone()));
        }
        Ok(())
    }
}

/// The configuration row that confirming `plan` makes.
fn accepted_row(
    by: &str,
    plan: &row::PlanRow,
    stored: &configuration::Stored,
) -> Result<configuration::ConfigurationRow, failure::Failure> {
    let declared: intent::Intent = settings::from_text(&plan.text).map_err(desk::unreadable)?;
    let current = stored.value.intent().map_err(desk::unreadable)?;
    let merged = configuration::merge(&declared, &current);
    let version = stored.value.version + 1;
    Ok(configuration::ConfigurationRow {
        version,
        by: by.to_owned(),
        text: keys::text(&merged).map_err(failure::Failure::unread)?,
        declared: configuration::Declared {
            version,
            by: by.to_owned(),
            changes: plan.changes.clone(),
        },
    })
}

/// One line for the decision.
fn log(by: &str, id: &str, result: &Result<Confirmed, failure::Failure>) {
    match result {
        Ok(confirmed) => tracing::info!(
            decision = "confirm",
            code = 0,
            plan = id,
            by,
            version = confirmed.version,
            "placement"
        ),
        Err(failure) => tracing::info!(
            decision = "confirm refused",
            code = failure.code().number(),
            plan = id,
            by,
            reason = %failure,
            "placement"
        ),
    }
}
