//! Giving and withdrawing callers' keys.

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_core::key;
use azuregap_platform::error;
use azuregap_platform::table;

use crate::configuration;
use crate::failure;

/// How often a change is tried again after another one came first or an answer was lost.
const ATTEMPTS: usize = 16;

/// Gives the key with `digest` to `team`; answers the version it is in force from. Giving it
/// twice is one effect.
///
/// # Errors
///
/// [`failure::Failure`] when the team is not declared, the key was withdrawn or belongs to
/// another team, or the table service gave no result.
pub async fn give(
    source: &configuration::Source,
    by: &str,
    team: &ids::TeamId,
    digest: key::Digest,
) -> Result<ids::Version, failure::Failure> {
    change(source, by, |intent| {
        if intent.team(team).is_none() {
            return Err(failure::Failure::NameUnknown(team.clone()));
        }
        let grant = intent::KeyGrant { digest, team: team.clone(), withdrawn: false };
        match intent.keys.iter().find(|known| known.digest == digest) {
            Some(known) if *known == grant => Ok(false),
            Some(_) => Err(in_use(intent)),
            None => {
                intent.keys.push(grant);
                Ok(true)
            }
        }
    })
    .await
}

/// Withdraws the key with `digest`; answers the version it is refused from. Withdrawing it twice
/// is one effect.
///
/// # Errors
///
/// [`failure::Failure`] when no such key was given or the table service gave no result.
pub async fn withdraw(
    source: &configuration::Source,
    by: &str,
    digest: key::Digest,
) -> Result<ids::Version, failure::Failure> {
    change(source, by, |intent| {
        let known = intent.keys.iter_mut().find(|known| known.digest == digest);
        let known = known.ok_or_else(|| failure::Failure::NameUnknown(digest.short()))?;
        let changed = !known.withdrawn;
        known.withdrawn = true;
        Ok(changed)
    })
    .await
}

/// A key that was withdrawn or belongs to another team is not given anew.
fn in_use(intent: &intent::Intent) -> failure::Failure {
    let path = format!("keys[{}].digest", intent.keys.len());
    let expected = "a digest that no key has or had";
    let code = azuregap_core::code::Code::PartsClash;
    failure::Failure::Invalid(vec![intent::Fault::new(path, code, expected)])
}

/// Applies `edit` to the newest intent, again after each change that came first. `edit` answers
/// whether it changed anything; a change whose answer was lost is found made at the next try.
pub(crate) async fn change(
    source: &configuration::Source,
    by: &str,
    edit: impl Fn(&mut intent::Intent) -> Result<bool, failure::Failure>,
) -> Result<ids::Version, failure::Failure> {
    let change = source.begin();
    let result = try_change(source, by, edit).await;
    if !matches!(result, Err(failure::Failure::Unsettled(_))) {
        change.settle();
    }
    result
}

async fn try_change(
    source: &configuration::Source,
    by: &str,
    edit: impl Fn(&mut intent::Intent) -> Result<bool, failure::Failure>,
) -> Result<ids::Version, failure::Failure> {
    let mut open = None;
    for _ in 0..ATTEMPTS {
        let stored = match source.read().await {
            Ok(stored) => stored,
            Err(error) => return Err(unsettled(open, error)),
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
            Err(error @ error::PlatformError::Unknown(_)) => open = Some(error),
            Err(error @ error::PlatformError::Refused(_)) => return Err(unsettled(open, error)),
        }
    }
    let reason = error::PlatformError::Refused("too many changes at once".to_owned());
    Err(unsettled(open, reason))
}

/// Writes `intent` as the version after `stored`; none when another change came first.
async fn write(
    source: &configuration::Source,
    by: &str,
    stored: configuration::Stored,
    intent: &intent::Intent,
) -> error::PlatformResult<Option<ids::Version>> {
    let row = configuration::ConfigurationRow {
        version: stored.value.version + 1,
        by: by.to_owned(),
        text: text(intent)?,
        declared: stored.value.declared,
    };
    let transaction = table::Transaction::new()
        .check(configuration::CURRENT, stored.row)
        .put(configuration::CURRENT, value(&row)?);
    match source.table().commit(transaction).await? {
        table::Commit::Applied(_) => {
            source.apply(&row)?;
            Ok(Some(row.version))
        }
        table::Commit::Conflict(_) => Ok(None),
    }
}

/// After a lost answer the outcome is open, whatever the later error says.
fn unsettled(open: Option<error::PlatformError>, error: error::PlatformError) -> failure::Failure {
    match open {
        Some(open) => failure::Failure::Unsettled(open.to_string()),
        None => failure::Failure::unread(error),
    }
}

/// The JSON text of an intent.
pub(crate) fn text(intent: &intent::Intent) -> error::PlatformResult<String> {
    serde_json::to_string(intent).map_err(|error| error::PlatformError::Refused(error.to_string()))
}

/// The JSON value of a row.
pub(crate) fn value(row: &impl serde::Serialize) -> error::PlatformResult<serde_json::Value> {
    serde_json::to_value(row).map_err(|error| error::PlatformError::Refused(error.to_string()))
}
