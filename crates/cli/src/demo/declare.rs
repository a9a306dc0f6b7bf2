//! Declares the demo's intent through the operators' API.

use std::net;
use std::time;

use azuregap_core::intent;
use azuregap_core::key;
use serde_json::Value;
use serde_json::json;

use crate::api;
use crate::error;

/// How long the operators' API may take to answer.
const PATIENCE: time::Duration = time::Duration::from_secs(30);

/// Time between two tries.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// What was put in force.
#[derive(Clone, Debug)]
pub(super) struct Declared {
    /// The plan as it was answered.
    pub(super) plan: Value,
    /// The version that the key is in force from.
    pub(super) version: Value,
}

/// Plans and confirms `intent`, then gives `key` to its first team.
///
/// # Errors
///
/// [`error::CliError`] when the operators' API refuses or does not answer.
pub(super) async fn declare(
    operators: net::SocketAddr,
    operator: &str,
    intent: &intent::Intent,
    key: &str,
) -> error::CliResult<Declared> {
    let api = api::Api::with_key(&format!("http://{operators}"), operator);
    wait(&api).await?;
    let intent_document = json!(intent);
    let plan = api.post("/v1/plans", Some(&intent_document)).await?;
    let id = plan["id"].as_str().unwrap_or_default();
    api.post(&format!("/v1/plans/{id}/confirm"), None).await?;
    let given = json!({ "team": intent.teams[0].name, "digest": key::Digest::of(key) });
    let answer = api.post("/v1/keys", Some(&given)).await?;
    Ok(Declared { plan, version: answer["version"].clone() })
}

/// Waits until the API answers.
async fn wait(api: &api::Api) -> error::CliResult<()> {
    let begun = tokio::time::Instant::now();
    loop {
        match api.get("/v1/status").await {
            Err(error::CliError::Unreachable(..)) if begun.elapsed() < PATIENCE => {
                tokio::time::sleep(PAUSE).await;
            }
            outcome => return outcome.map(drop),
        }
    }
}
