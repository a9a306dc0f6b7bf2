//! Grants and revokes caller keys in the stored intent.

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::key;
use azuregap_platform::error;
use azuregap_platform::table;

use crate::configuration;
use crate::failure;

/// Most attempts at a change, counting those lost to concurrent changes or lost responses.
const MAX_ATTEMPTS: usize = 16;

/// Grants the key with `digest` to `team` and returns the configuration version from which it is
/// valid. Idempotent.
///
/// # Errors
///
/// [`failure::Failure`] if the team is not declared, the key was revoked or belongs to
/// another team, or the table service returned no result.
pub async fn grant(
    source: &configuration::Source,
    by: &str,
    team: &ids::TeamId,
    digest: key::Digest,
) -> Result<ids::Version, failure::Failure> {
    update_intent(source, by, |intent| {
        if intent.team(team).is_none() {
            return Err(failure::Failure::NameUnknown(team.clone()));
        }
        let grant = intent::KeyGrant { digest, team: team.clone(), withdrawn: false };
        match intent.keys.iter().find(|known| known.digest == digest) {
            Some(known) if *known == grant => Ok(false),
            Some(_) => Err(digest_in_use(intent)),
            None => {
                intent.keys.push(grant);
                Ok(true)
            }
        }
    })
    .await
}

/// Revokes the key with `digest` and returns the configuration version from which it is rejected.
/// Idempotent.
///
/// # Errors
///
/// [`failure::Failure`] if no such key was granted or the table service returned no result.
pub async fn revoke(
    source: &configuration::Source,
    by: &str,
    digest: key::Digest,
) -> Result<ids::Version, failure::Failure> {
    update_intent(source, by, |intent| {
        let known = intent.keys.iter_mut().find(|known| known.digest == digest);
        let known = known.ok_or_else(|| failure::Failure::NameUnknown(digest.short()))?;
        let changed = !known.withdrawn;
        known.withdrawn = true;
        Ok(changed)
    })
    .await
}

/// The error for a digest that is revoked or belongs to another team; it cannot be granted again.
fn digest_in_use(intent: &intent::Intent) -> failure::Failure {
    let path = format!("keys[{}].digest", intent.keys.len());
    let expected = "a digest that no key has or had";
    let code = azuregap_core::code::Code::PartsClash;
    failure::Failure::Invalid(vec![intent::Fault::new(path, code, expected)])
}

/// Applies `edit` to the newest intent with optimistic concurrency, retrying after each conflict.
/// `edit` returns whether it changed anything; if the response to an applied write was lost, the
/// next attempt finds nothing left to change.
pub(crate) async fn update_intent(
    source: &configuration::Source,
    by: &str,
    edit: impl Fn(&mut intent::Intent) -> Result<bool, failure::Failure>,
) -> Result<ids::Version, failure::Failure> {
    let change = source.begin();
    let result = try_update(source, by, edit).await;
    if !matches!(result, Err(failure::Failure::OutcomeUnknown(_))) {
        change.settle();
    }
    result
}

async fn try_update(
    source: &configuration::Source,
    by: &str,
    edit: impl Fn(&mut intent::Intent) -> Result<bool, failure::Failure>,
) -> Result<ids::Version, failure::Failure> {
    let mut lost = None;
    for _ in 0..MAX_ATTEMPTS {
        let stored = match source.read().await {
            Ok(stored) => stored,
            Err(error) => return Err(outcome_error(lost, error)),
        };
        let mut intent = stored
            .value
            .intent()
            .map_err(|error| failure::Failure::Unavailable(error.to_string()))?;
        if !edit(&mut intent)? {
            return Ok(stored.value.version);
        }
        match write(source, by, stored, &intent).await {
            Ok(Some(version)) => return Ok(version),
            Ok(None) => {}
            Err(error @ error::PlatformError::Unknown(_)) => lost = Some(error),
            Err(error @ error::PlatformError::Refused(_)) => {
                return Err(outcome_error(lost, error));
            }
        }
    }
    let reason = error::PlatformError::Refused("too many changes at once".to_owned());
    Err(outcome_error(lost, reason))
}

/// Writes `intent` as the version after `stored`; `None` if a concurrent change was written first.
async fn write(
    source: &configuration::Source,
    by: &str,
    stored: configuration::Stored,
    intent: &intent::Intent,
) -> error::PlatformResult<Option<ids::Version>> {
    let row = configuration::ConfigurationRow {
        version: stored.value.version + 1,
        by: by.to_owned(),
        text: intent_json(intent)?,
        declared: stored.value.declared,
    };
    let transaction = table::Transaction::new()
        .check(configuration::CURRENT, stored.row)
        .put(configuration::CURRENT, row_json(&row)?);
    match source.table().commit(transaction).await? {
        table::Commit::Applied(_) => {
            source.apply(&row)?;
            Ok(Some(row.version))
        }
        table::Commit::Conflict(_) => Ok(None),
    }
}

/// Once a response was lost the outcome stays unknown, whatever a later error says.
fn outcome_error(
    lost: Option<error::PlatformError>,
    error: error::PlatformError,
) -> failure::Failure {
    match lost {
        Some(lost) => failure::Failure::OutcomeUnknown(lost.to_string()),
        None => failure::Failure::unavailable(error),
    }
}

/// The JSON text of an intent.
pub(crate) fn intent_json(intent: &intent::Intent) -> error::PlatformResult<String> {
    serde_json::to_string(intent).map_err(|error| error::PlatformError::Refused(error.to_string()))
}

/// The JSON value of a row.
pub(crate) fn row_json(row: &impl serde::Serialize) -> error::PlatformResult<serde_json::Value> {
    serde_json::to_value(row).map_err(|error| error::PlatformError::Refused(error.to_string()))
}
