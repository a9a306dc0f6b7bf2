//! Digests of caller and operator keys; the keys themselves are never stored or compared.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use sha2::Digest as _;
use subtle::ConstantTimeEq as _;

/// SHA-256 digest of a key, serialized as 64 hexadecimal digits.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Digest(#[serde_as(as = "serde_with::hex::Hex")] pub [u8; 32]);

impl Digest {
    /// Computes the digest of `key`.
    #[must_use]
    pub fn of(key: impl AsRef<[u8]>) -> Self {
        Self(sha2::Sha256::digest(key.as_ref()).into())
    }

    /// Compares two digests in constant time.
    #[must_use]
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// Returns the first eight hexadecimal digits, for log output.
    #[must_use]
    pub fn short(&self) -> String {
        hex::encode(&self.0[..4])
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({}..)", self.short())
    }
}
