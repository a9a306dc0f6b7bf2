//! Calls whose outcome is not known at first.

use std::time;

use serde_json::Value;

use crate::error;

/// How often a call whose outcome is not known is made at most.
const ATTEMPTS: usize = 3;

/// Time between two calls.
const PAUSE: time::Duration = time::Duration::from_millis(500);

/// Repeats a call that has one effect however often it is made, until its outcome is known.
pub(super) async fn settle<F>(call: impl Fn() -> F) -> error::CliResult<Value>
where
    F: Future<Output = error::CliResult<Value>>,
{
    let mut outcome = call().await;
    for _ in 1..ATTEMPTS {
        if !outcome.as_ref().is_err_and(is_open) {
            break;
        }
        tokio::time::sleep(PAUSE).await;
        outcome = call().await;
    }
    outcome
}

/// Whether the call may have had its effect all the same.
pub(super) fn is_open(error: &error::CliError) -> bool {
    match error {
        error::CliError::Refused(_, body) => body["unsettled"] == true,
        other => matches!(other, error::CliError::Unreachable(..)),
    }
}
