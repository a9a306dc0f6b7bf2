//! Creates and looks up plans.

use azuregap_core::ids;
use azuregap_core::intent;
use azuregap_platform::error;
use azuregap_platform::table;
use azuregap_policy::plan;

use super::row;
use super::view;
use crate::clock;
use crate::configuration;
use crate::failure;
use crate::keys;

/// Most plans returned by a listing.
const MAX_LISTED: usize = 1_000;

/// Creates, looks up and confirms plans.
#[derive(Clone, Debug)]
pub struct PlanManager {
    pub(super) source: configuration::Source,
    pub(super) clock: clock::WallClock,
}

impl PlanManager {
    /// Creates a manager that stores plans in the table of `source`.
    #[must_use]
    pub const fn new(source: configuration::Source, clock: clock::WallClock) -> Self {
        Self { source, clock }
    }

    /// Creates a plan for `declared` with the unused `id`, without changing the configuration.
    ///
    /// # Errors
    ///
    /// [`failure::Failure`] if the intent is invalid or the table service returned no result.
    pub async fn create(
        &self,
        by: &str,
        id: ids::PlanId,
        declared: &intent::Intent,
        backends: &[plan::Backend],
        demand: &[plan::Demand],
    ) -> Result<view::PlanView, failure::Failure> {
        let stored = self.source.read().await.map_err(failure::Failure::unavailable)?;
        let current = stored.value.intent().map_err(unreadable)?;
        let merged = configuration::merge(declared, &current);
        let faults = merged.check();
        if !faults.is_empty() {
            return Err(failure::Failure::Invalid(faults));
        }
        let inputs = plan::Inputs::new(&merged).backends(backends).demand(demand);
        let row = row::PlanRow {
            id,
            base: stored.value.version,
            by: by.to_owned(),
            text: keys::intent_json(declared).map_err(failure::Failure::unavailable)?,
            changes: configuration::changes(&current, &merged),
            plan: plan::plan(&inputs),
            expires: self.clock.seconds() + row::PLAN_TTL.as_secs(),
            state: row::PlanState::Open,
        };
        self.insert(&row).await.map_err(failure::Failure::unavailable)?;
        log_created(&row, backends.len());
        Ok(view::PlanView::new(row, self.clock.seconds()))
    }

    /// Looks up a plan by id.
    ///
    /// # Errors
    ///
    /// [`failure::Failure`] if no plan has this id or the table service returned no result.
    pub async fn find(&self, id: &str) -> Result<view::PlanView, failure::Failure> {
        let (_, row) = self.read(id).await?;
        Ok(view::PlanView::new(row, self.clock.seconds()))
    }

    /// Lists the stored plans.
    ///
    /// # Errors
    ///
    /// [`failure::Failure`] if the table service returned no result.
    pub async fn list(&self) -> Result<Vec<view::PlanView>, failure::Failure> {
        let rows = self.source.table().scan(row::KEY_PREFIX, "", MAX_LISTED).await;
        let rows = rows.map_err(failure::Failure::unavailable)?;
        let rows = rows.into_iter().filter_map(|row| serde_json::from_value(row.value).ok());
        let now = self.clock.seconds();
        Ok(rows.map(|row| view::PlanView::new(row, now)).collect())
    }

    /// Reads the row of a plan and its row version.
    pub(super) async fn read(&self, id: &str) -> Result<(u64, row::PlanRow), failure::Failure> {
        let found = self.source.table().read(row::row_key(id)).await;
        let found = found.map_err(failure::Failure::unavailable)?;
        let found = found.ok_or_else(|| failure::Failure::PlanUnknown(id.to_owned()))?;
        let row = serde_json::from_value(found.value).map_err(unreadable)?;
        Ok((found.version, row))
    }

    /// Inserts the row, once more if the response was lost.
    async fn insert(&self, row: &row::PlanRow) -> error::PlatformResult<()> {
        let key = row::row_key(&row.id);
        let transaction =
            table::Transaction::new().check(key.clone(), 0).put(key, keys::row_json(row)?);
        let first = self.source.table().commit(transaction.clone()).await;
        if let Err(error::PlatformError::Unknown(_)) = first {
            return self.source.table().commit(transaction).await.map(drop);
        }
        first.map(drop)
    }
}

pub(super) fn unreadable(reason: impl ToString) -> failure::Failure {
    failure::Failure::Unavailable(reason.to_string())
}

/// Logs a created plan.
fn log_created(row: &row::PlanRow, backends: usize) {
    let count = |action| row.plan.steps.iter().filter(|step| step.action == action).count();
    tracing::info!(
        decision = "plan",
        code = 0,
        plan = row.id,
        by = row.by,
        base = row.base,
        backends,
        starts = count(plan::Action::Start),
        stops = count(plan::Action::Stop),
        moves = count(plan::Action::Move),
        refusals = count(plan::Action::Refuse),
        cost = row.plan.cost.per_hour,
        "placement"
    );
}
