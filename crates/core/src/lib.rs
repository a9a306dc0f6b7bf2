//! Identifiers, numbered result codes, intents and settings shared by every azuregap package.
//!
//! The other packages depend on this crate. It contains only data types and their validation; it
//! does no I/O and reads no clock.
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
