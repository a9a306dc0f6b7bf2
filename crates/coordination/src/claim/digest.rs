//! Digest of a request, to tell whether a key is reused with another body.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use sha2::Digest as _;

/// SHA-256 digest of method, path and body; written as 64 hexadecimal digits.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestDigest(#[serde_as(as = "serde_with::hex::Hex")] pub [u8; 32]);

impl RequestDigest {
    /// The digest of a request.
    #[must_use]
    pub fn of(method: &str, path: &str, body: impl AsRef<[u8]>) -> Self {
        let mut sum = sha2::Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body.as_ref()] {
            sum.update((part.len() as u64).to_be_bytes());
            sum.update(part);
        }
        Self(sum.finalize().into())
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({}..)", hex::encode(&self.0[..4]))
    }
}
