//! Keys of teams: given, withdrawn and listed.

use azuregap_core::key;
use serde_json::Value;
use serde_json::json;

use super::settle;
use crate::api;
use crate::args;
use crate::error;
use crate::exit;
use crate::render;
use crate::secret;

/// Runs one of the commands on keys.
pub(super) async fn run(command: &args::KeysCommand, json: bool) -> error::CliResult<exit::Exit> {
    match command {
        args::KeysCommand::Give { team, operator } => give(team, operator, json).await,
        args::KeysCommand::Withdraw { digest, operator } => {
            let path = format!("/v1/keys/{}", written(digest));
            let api = api::Api::new(operator)?;
            let answer = settle::settle(|| api.delete(&path)).await?;
            render::print(&answer, json);
            Ok(exit::Exit::Done)
        }
        args::KeysCommand::List { operator } => list(operator, json).await,
    }
}

/// The key is printed only once the entry has taken its digest.
async fn give(team: &str, operator: &args::Operator, json: bool) -> error::CliResult<exit::Exit> {
    let api = api::Api::new(operator)?;
    let key = secret::new_key();
    let digest = written(&key::Digest::of(&key));
    let body = json!({ "team": team, "digest": digest });
    let outcome = settle::settle(|| api.post("/v1/keys", Some(&body))).await;
    if let (false, Err(error)) = (json, &outcome)
        && settle::is_open(error)
    {
        eprintln!("The key may have been given, and is lost. Withdraw it:");
        eprintln!("azuregap keys withdraw {digest}");
    }
    let mut answer = outcome?;
    answer["team"] = team.into();
    answer["digest"] = digest.into();
    answer["key"] = key.into();
    render::print(&answer, json);
    if !json {
        println!("\nThe key is shown this once; azuregap keeps only its digest.");
    }
    Ok(exit::Exit::Done)
}

async fn list(operator: &args::Operator, json: bool) -> error::CliResult<exit::Exit> {
    let answer = api::Api::new(operator)?.get("/v1/intent").await?;
    let keys = answer.pointer("/intent/keys").cloned().unwrap_or_else(|| json!([]));
    render::print(&json!({ "version": answer["version"], "keys": keys }), json);
    Ok(exit::Exit::Done)
}

/// The digest as 64 hexadecimal digits.
fn written(digest: &key::Digest) -> String {
    match json!(digest) {
        Value::String(digits) => digits,
        other => other.to_string(),
    }
}
