//! The request path: from the client's connection to a backend server and back.
//!
//! Both sides use `hyper` directly, one connection at a time, because it tells apart a client that
//! disconnects while its request runs, a response that ends early and a complete one, and a request
//! that was never written and one that may have arrived. `actix-web` and `awc` hide these
//! differences.

mod access;
mod admission;
mod attempt;
mod backend_stream;
mod body;
pub mod client;
mod client_body;
mod client_socket;
mod client_stream;
pub mod clients;
mod collect;
mod dispatch;
mod eligibility;
mod guards;
mod handler;
mod held_bytes;
mod interruption;
mod listener;
mod own_response;
pub mod pool;
mod read_turn;
mod relay;
mod request_body;
mod request_log;
mod retry;
mod screening;
mod selection;
pub mod sse;
mod waiting;

pub use listener::serve;
