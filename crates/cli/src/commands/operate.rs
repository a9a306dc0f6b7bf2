//! Plans, confirmations and what an entry tells of itself.

use std::path;

use azuregap_core::ids;
use serde_json::Value;

use super::check;
use super::settle;
use crate::api;
use crate::args;
use crate::documents;
use crate::error;
use crate::exit;
use crate::render;

/// Checks the intent at `file` here, then asks the entry for a plan.
pub(super) async fn plan(
    file: &path::Path,
    operator: &args::Operator,
    json: bool,
) -> error::CliResult<exit::Exit> {
    let document = documents::Document::read(file)?;
    let documents::Document::Intent(intent) = &document else {
        let kind = document.kind();
        let reason = format!("{}: settings of an {kind}, not an intent", file.display());
        return Err(error::CliError::Usage(reason));
    };
    if !intent.check().is_empty() {
        return Ok(check::check(&[file.to_owned()], json));
    }
    let body = serde_json::to_value(intent).map_err(unreadable)?;
    let plan = api::Api::new(operator)?.post("/v1/plans", Some(&body)).await?;
    render::print(&plan, json);
    if let (false, Some(id)) = (json, plan.get("id").and_then(Value::as_str)) {
        println!("\nNothing has changed yet. To put it in force: azuregap confirm {id}");
    }
    Ok(exit::Exit::Done)
}

/// Confirms a plan; a repeat has one effect, so that a lost answer is asked for again.
pub(super) async fn confirm(
    id: &ids::PlanId,
    operator: &args::Operator,
    json: bool,
) -> error::CliResult<exit::Exit> {
    let path = format!("/v1/plans/{id}/confirm");
    let api = api::Api::new(operator)?;
    let outcome = settle::settle(|| api.post(&path, None)).await;
    if !json && outcome.as_ref().is_err_and(settle::is_open) {
        eprintln!("The plan may be in force. Confirm it again: that has one effect.");
    }
    render::print(&outcome?, json);
    Ok(exit::Exit::Done)
}

/// Prints the intent in force so that it can be edited and planned again.
pub(super) async fn intent(operator: &args::Operator, json: bool) -> error::CliResult<exit::Exit> {
    let answer = api::Api::new(operator)?.get("/v1/intent").await?;
    let intent = answer.get("intent");
    match intent {
        Some(intent) if !json => {
            let told = |name: &str| answer.get(name).map_or_else(String::new, Value::to_string);
            eprintln!("version {} by {}", told("version"), told("by"));
            println!("{intent:#}");
        }
        _ => render::print(&answer, true),
    }
    Ok(exit::Exit::Done)
}

/// Reads `path` and prints the answer.
pub(super) async fn show(
    path: &str,
    operator: &args::Operator,
    json: bool,
) -> error::CliResult<exit::Exit> {
    let answer = api::Api::new(operator)?.get(path).await?;
    render::print(&answer, json);
    Ok(exit::Exit::Done)
}

fn unreadable(error: serde_json::Error) -> error::CliError {
    error::CliError::Answer(error.to_string())
}
