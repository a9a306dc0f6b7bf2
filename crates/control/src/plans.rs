//! Plans that operators create and confirm.
//!
//! A plan is stored as a row of the table service, so that any entry can confirm it. Confirmation
//! writes the plan row and the configuration row in one transaction: of two plans based on the
//! same version exactly one is accepted, and confirming a plan is idempotent.

mod confirm;
mod manager;
mod row;
mod view;

pub use confirm::Confirmed;
pub use manager::PlanManager;
pub use row::KEY_PREFIX;
pub use row::PLAN_TTL;
pub use row::PlanRow;
pub use row::PlanState;
pub use row::row_key;
pub use view::PlanView;
