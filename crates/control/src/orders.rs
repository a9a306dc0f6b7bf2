//! Orders of the process in charge: backend servers that start and stop, models that are loaded.
//!
//! An order is a row first, written in a transaction that checks the lease row and the
//! configuration it was decided on. Then it is sent, under the same id until it is acknowledged.
//! A successor finds the rows and goes on with the same ids under its own fencing number.

mod agent;
mod desk;
mod gate;
mod inventory;
mod pace;
mod row;

pub use agent::AgentOrder;
pub use agent::order_agent;
pub use desk::Carriers;
pub use desk::Desk;
pub use gate::Admission;
pub use gate::Gate;
pub use inventory::inventory;
pub use pace::Pace;
pub use row::ORDERS;
pub use row::OrderAction;
pub use row::OrderRow;
pub use row::OrderState;
pub use row::order;
