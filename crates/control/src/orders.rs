//! Orders of the lease holder: starting and stopping backend servers, loading models.
//!
//! An order is first stored as a row, in a transaction that checks the lease row and the
//! configuration that the decision was based on. It is then sent with the same id until it is
//! acknowledged. The next lease holder reads the rows and continues with the same ids under its
//! own fencing token.

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
