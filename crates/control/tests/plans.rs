//! Plans, confirmations and key changes, with concurrent operators and lost responses.

mod support;

use std::time;

use azuregap_control::configuration;
use azuregap_control::failure;
use azuregap_control::keys;
use azuregap_control::plans;
use azuregap_control::snapshot;
use azuregap_core::code;
use azuregap_core::intent;
use azuregap_core::key;
use azuregap_standins::faults;
use azuregap_standins::platform;
use futures::future;
use googletest::prelude::*;
use rand::RngExt as _;
use rand::SeedableRng as _;

fn source(platform: &platform::Platform) -> configuration::Source {
    let table = platform.table.client(support::TIMEOUT);
    let (snapshot, unresolved) =
        (snapshot::Handle::default(), configuration::UnresolvedChanges::default());
    configuration::Source::new(table, snapshot, unresolved)
}

fn manager(platform: &platform::Platform) -> plans::PlanManager {
    plans::PlanManager::new(source(platform), support::clock())
}

/// An intent that is distinguished by `spend`.
fn declared(spend: u64) -> intent::Intent {
    support::intent(2, spend)
}

async fn create(
    manager: &plans::PlanManager,
    by: &str,
    id: &str,
    intent: &intent::Intent,
) -> std::result::Result<plans::PlanView, failure::Failure> {
    manager.create(by, id.to_owned(), intent, &[], &[]).await
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn plan_has_no_effect_until_confirmed_and_confirmation_is_idempotent()
-> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &declared(3));
    let manager = manager(&platform);
    let plan = create(&manager, "ann", "p1", &declared(5)).await?;
    verify_that!(support::current(&platform).version, eq(1))?;
    insta::assert_json_snapshot!(plan);
    let first = manager.confirm("ann", "p1").await?;
    let again = manager.confirm("bob", "p1").await?;
    verify_that!(first.version, eq(2))?;
    verify_that!(again, eq(&first))?;
    verify_that!(support::current(&platform).version, eq(2))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn outdated_plan_is_rejected_with_the_conflicting_change() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &declared(3));
    let manager = manager(&platform);
    create(&manager, "ann", "p1", &declared(5)).await?;
    create(&manager, "bob", "p2", &declared(6)).await?;
    manager.confirm("ann", "p1").await?;
    let failure = manager.confirm("bob", "p2").await.unwrap_err();
    verify_that!(failure.code(), eq(code::Code::PlanConflict))?;
    let expected = failure::Conflict {
        base: 1,
        version: 2,
        by: "ann".to_owned(),
        changes: vec!["zones.north".to_owned()],
    };
    verify_that!(failure, eq(&failure::Failure::Conflict(expected)))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn confirming_expired_or_unknown_plan_fails() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &declared(3));
    let manager = manager(&platform);
    create(&manager, "ann", "p1", &declared(5)).await?;
    tokio::time::advance(plans::PLAN_TTL).await;
    let failure = manager.confirm("ann", "p1").await.unwrap_err();
    verify_that!(failure.code(), eq(code::Code::PlanExpired))?;
    verify_that!(manager.find("p1").await?.state.as_str(), eq("expired"))?;
    let unknown = manager.confirm("ann", "p2").await.unwrap_err();
    verify_that!(unknown.code(), eq(code::Code::PlanUnknown))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn confirming_plan_keeps_revoked_key_revoked() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &declared(3));
    let (manager, source) = (manager(&platform), source(&platform));
    let digest = key::Digest::of("secret");
    keys::grant(&source, "ann", &"acme".to_owned(), digest).await?;
    let mut intent = declared(5);
    intent.keys = support::current(&platform).intent()?.keys;
    create(&manager, "bob", "p1", &intent).await?;
    keys::revoke(&source, "ann", digest).await?;
    manager.confirm("bob", "p1").await?;
    let keys = support::current(&platform).intent()?.keys;
    verify_that!(keys.len(), eq(1))?;
    verify_that!(keys[0].withdrawn, eq(true))?;
    let again = keys::grant(&source, "ann", &"acme".to_owned(), digest).await;
    verify_that!(again.unwrap_err().code(), eq(code::Code::PartsClash))
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn confirmation_fails_promptly_while_table_service_is_down() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &declared(3));
    let manager = manager(&platform);
    create(&manager, "ann", "p1", &declared(5)).await?;
    platform.table.set_faults(faults::Faults::new().outage(true));
    let start = tokio::time::Instant::now();
    let failure = manager.confirm("ann", "p1").await.unwrap_err();
    verify_that!(failure.code(), eq(code::Code::StoreUnavailable))?;
    verify_that!(start.elapsed(), le(time::Duration::from_secs(2)))?;
    verify_that!(matches!(failure, failure::Failure::Unavailable(_)), eq(true))
}

/// Three operators create plans based on the same version and confirm them concurrently.
#[gtest]
#[tokio::test(start_paused = true)]
async fn exactly_one_of_three_concurrent_plans_is_accepted_in_200_rounds() -> googletest::Result<()>
{
    let platform = platform::Platform::new();
    support::seed(&platform, &declared(3));
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(5);
    for round in 0..200_u64 {
        let slow = faults::Faults::new().delay(time::Duration::from_millis(2));
        platform.table.set_faults(match round % 4 {
            0 => slow.lose(rng.random_range(1..3)).spare(rng.random_range(3..6)),
            _ => slow,
        });
        let plan_and_confirm = |operator: usize| {
            let manager = manager(&platform);
            let pause = time::Duration::from_millis(rng.random_range(0..6));
            let (by, id) = (format!("operator-{operator}"), format!("{round}-{operator}"));
            let intent = declared(10 + round * 3 + operator as u64);
            async move {
                create(&manager, &by, &id, &intent).await?;
                tokio::time::sleep(time::Duration::from_millis(40) + pause).await;
                manager.confirm(&by, &id).await
            }
        };
        let results = future::join_all((0..3).map(plan_and_confirm)).await;
        let accepted: Vec<_> = results.iter().flatten().collect();
        verify_that!(accepted.len(), eq(1))
            .with_failure_message(|| format!("{round}: {results:?}"))?;
        verify_that!(accepted[0].version, eq(round + 2))?;
        let winner = &support::current(&platform).by;
        for failure in results.iter().filter_map(|result| result.as_ref().err()) {
            let failure::Failure::Conflict(conflict) = failure else {
                panic!("{round}: {failure:?}");
            };
            verify_that!(&conflict.by, eq(winner))?;
            verify_that!(conflict.version, eq(round + 2))?;
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn concurrent_key_grants_are_applied_exactly_once() -> googletest::Result<()> {
    let platform = platform::Platform::new();
    support::seed(&platform, &declared(3));
    platform.table.set_faults(faults::Faults::new().lose(6).spare(3));
    let grant = |i: usize| {
        let source = source(&platform);
        async move {
            let digest = key::Digest::of(i.to_string());
            keys::grant(&source, "ann", &"acme".to_owned(), digest).await
        }
    };
    let results = future::join_all((0..8).map(grant)).await;
    verify_that!(results.iter().filter(|result| result.is_ok()).count(), eq(8))?;
    verify_that!(support::current(&platform).intent()?.keys.len(), eq(8))
}
