//! Ids, numbered result codes, intents and settings shared by every azuregap package.
//!
//! This is the small stable crate that the others build on. It holds data and checks only; it
//! opens no socket and reads no clock.
//!
//! ```
//! use azuregap_core::code;
//!
//! let code = code::Code::KeyUnknown;
//! assert_eq!(code.number(), 1002);
//! assert_eq!(code.status(), 401);
//! ```

pub mod code;
mod findings;
pub mod ids;
pub mod intent;
pub mod key;
pub mod refusal;
pub mod settings;
