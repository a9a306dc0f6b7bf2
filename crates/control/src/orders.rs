//! Orders of the process in charge: backend servers that start and stop, models that are loaded.
//!
//! An order is a row first, written in a transaction that checks the lease row and the
//! configuration it was decided on. Then it is sent, under the same id until it is acknowledged.
//! A successor finds the rows and goes on with the same ids under its own fencing number.

mod agent;
mod dispatcher;
mod filter;
mod inventory;
mod rate_limiter;
mod row;

pub use agent::AgentOrder;
pub use agent::submit_agent_order;
pub use dispatcher::OrderDispatcher;
pub use dispatcher::OrderSenders;
pub use filter::Admission;
pub use filter::OrderFilter;
pub use inventory::inventory;
pub use rate_limiter::RateLimiter;
pub use row::KEY_PREFIX;
pub use row::OrderAction;
pub use row::OrderRow;
pub use row::OrderState;
pub use row::row_key;
