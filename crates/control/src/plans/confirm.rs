//! Plan confirmation.

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::settings;
use azuregap_platform::error;
use azuregap_platform::table;
use serde::Deserialize;
use serde::Serialize;

use super::manager;
use super::row;
use crate::configuration;
use crate::failure;
use crate::keys;

/// Most attempts at a confirmation, counting those lost to key changes or lost responses.
const MAX_ATTEMPTS: usize = 8;

/// Result of confirming a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Confirmed {
    /// Id of the plan.
    pub plan: ids::PlanId,
    /// Configuration version that it created.
    pub version: ids::Version,
}

impl manager::PlanManager {
    /// Applies the intent of plan `id`. Idempotent.
    ///
    /// # Errors
    ///
    /// [`failure::Failure::Conflict`] if another declared intent was accepted after the plan
    /// was created; otherwise the other variants of [`failure::Failure`].
    pub async fn confirm(&self, by: &str, id: &str) -> Result<Confirmed, failure::Failure> {
        let change = self.source.begin();
        let result = self.try_confirm(by, id).await;
        if !matches!(result, Err(failure::Failure::OutcomeUnknown(_))) {
            change.settle();
        }
        log_confirmation(by, id, &result);
        result
    }

    async fn try_confirm(&self, by: &str, id: &str) -> Result<Confirmed, failure::Failure> {
        let mut unknown = None;
        for _ in 0..MAX_ATTEMPTS {
            let result = self.attempt(by, id, &mut unknown).await;
            match (result, &unknown) {
                (Ok(Some(confirmed)), _) => return Ok(confirmed),
                (Ok(None), _) => {}
                (Err(failure::Failure::Unavailable(_)), Some(reason)) => {
                    return Err(failure::Failure::OutcomeUnknown(reason.clone()));
                }
                (Err(failure), _) => return Err(failure),
            }
        }
        Err(match unknown {
            Some(reason) => failure::Failure::OutcomeUnknown(reason),
            None => failure::Failure::Unavailable("too many changes at once".to_owned()),
        })
    }

    /// Makes one attempt; `None` on a conflict or a lost response. Every attempt checks the versions
    /// of the rows that it read, so that of an attempt whose response was lost and the next one at
    /// most one is applied.
    async fn attempt(
        &self,
        by: &str,
        id: &str,
        unknown: &mut Option<String>,
    ) -> Result<Option<Confirmed>, failure::Failure> {
        let (version, plan) = self.read(id).await?;
        if let row::PlanState::Confirmed { version, .. } = plan.state {
            return Ok(Some(Confirmed { plan: plan.id, version }));
        }
        let stored = self.source.read().await.map_err(failure::Failure::unavailable)?;
        self.check(&plan, &stored)?;
        let row = accepted_row(by, &plan, &stored)?;
        let state = row::PlanState::Confirmed { version: row.version, by: by.to_owned() };
        let confirmed = row::PlanRow { state, ..plan };
        let key = row::row_key(id);
        let transaction = table::Transaction::new()
            .check(configuration::CURRENT, stored.row)
            .check(key.clone(), version)
            .put(
                configuration::CURRENT,
                keys::row_json(&row).map_err(failure::Failure::unavailable)?,
            )
            .put(key, keys::row_json(&confirmed).map_err(failure::Failure::unavailable)?);
        match self.source.table().commit(transaction).await {
            Ok(table::Commit::Applied(_)) => {
                self.source.apply(&row).map_err(failure::Failure::unavailable)?;
                Ok(Some(Confirmed { plan: confirmed.id, version: row.version }))
            }
            Ok(table::Commit::Conflict(_)) => Ok(None),
            Err(error::PlatformError::Unknown(reason)) => {
                *unknown = Some(reason);
                Ok(None)
            }
            Err(error) => Err(failure::Failure::unavailable(error)),
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
        if self.clock.seconds() >= plan.expires {
            return Err(failure::Failure::PlanExpired(plan.id.clone()));
        }
        Ok(())
    }
}

/// Builds the configuration row that confirming `plan` creates.
fn accepted_row(
    by: &str,
    plan: &row::PlanRow,
    stored: &configuration::Stored,
) -> Result<configuration::ConfigurationRow, failure::Failure> {
    let declared: intent::Intent = settings::from_text(&plan.text).map_err(manager::unreadable)?;
    let current = stored.value.intent().map_err(manager::unreadable)?;
    let merged = configuration::merge(&declared, &current);
    let version = stored.value.version + 1;
    Ok(configuration::ConfigurationRow {
        version,
        by: by.to_owned(),
        text: keys::intent_json(&merged).map_err(failure::Failure::unavailable)?,
        declared: configuration::Declared {
            version,
            by: by.to_owned(),
            changes: plan.changes.clone(),
        },
    })
}

/// Logs the result of a confirmation.
fn log_confirmation(by: &str, id: &str, result: &Result<Confirmed, failure::Failure>) {
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
