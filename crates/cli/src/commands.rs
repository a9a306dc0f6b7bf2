//! What the commands do.

mod check;
mod check_config;
mod explain;
mod keys;
mod operate;
mod settle;

use crate::args;
use crate::demo;
use crate::error;
use crate::exit;
use crate::load;

/// Runs the command asked for.
///
/// # Errors
///
/// [`error::CliError`] when it did not do what was asked.
pub(crate) async fn run(args: &args::Args) -> error::CliResult<exit::Exit> {
    let json = args.json;
    match &args.command {
        args::Command::Check { files } => Ok(check::check(files, json)),
        args::Command::CheckConfig { file, in_force, settings } => {
            check_config::check(file, in_force.as_deref(), settings, json)
        }
        args::Command::Plan { file, operator } => operate::plan(file, operator, json).await,
        args::Command::Confirm { id, operator } => operate::confirm(id, operator, json).await,
        args::Command::Plans { id: None, operator } => {
            operate::show("/v1/plans", operator, json).await
        }
        args::Command::Plans { id: Some(id), operator } => {
            operate::show(&format!("/v1/plans/{id}"), operator, json).await
        }
        args::Command::Intent { operator } => operate::intent(operator, json).await,
        args::Command::Keys(command) => keys::run(command, json).await,
        args::Command::Status { operator } => operate::show("/v1/status", operator, json).await,
        args::Command::Usage { window: None, operator } => {
            operate::show("/v1/usage", operator, json).await
        }
        args::Command::Usage { window: Some(window), operator } => {
            operate::show(&format!("/v1/usage/{window}"), operator, json).await
        }
        args::Command::Explain { request, files } => explain::explain(Some(request), files, json),
        args::Command::Incident { files } => explain::explain(None, files, json),
        args::Command::Report { files } => explain::report(files, json),
        args::Command::Demo(options) => demo::run(options, json).await,
        args::Command::Load(options) => load::run(options, json).await,
    }
}
