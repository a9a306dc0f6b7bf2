//! New random keys.

use std::fmt::Write as _;

/// Random bytes of a key.
const BYTES: usize = 32;

/// A new key: `ag-` and 64 hexadecimal digits.
pub(crate) fn new_key() -> String {
    let bytes: [u8; BYTES] = rand::random();
    bytes.iter().fold("ag-".to_owned(), |mut key, byte| {
        let _ = write!(key, "{byte:02x}");
        key
    })
}
