//! Plans that operators make and confirm.
//!
//! A plan is a row of the table service, so that any entry can confirm it. Confirming writes the
//! plan's row and the configuration row in one transaction: of two plans made from one version
//! exactly one is accepted, and confirming a plan twice is one effect.

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
