//! Digest of a request, which detects reuse of a key for a different request.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use sha2::Digest as _;

/// SHA-256 digest of method, path and body; serialised as 64 hexadecimal digits.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestDigest(#[serde_as(as = "serde_with::hex::Hex")] pub [u8; 32]);

impl RequestDigest {
    /// Computes the digest of a request. Every part is preceded by its length, so that moving bytes
    /// from one part to the next changes the digest.
    #[must_use]
    pub fn of(method: &str, path: &str, body: impl AsRef<[u8]>) -> Self {
        let mut hasher = sha2::Sha256::new();
        for part in [method.as_bytes(), path.as_bytes(), body.as_ref()] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "RequestDigest({}..)", hex::encode(&self.0[..4]))
    }
}
