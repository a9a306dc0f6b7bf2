//! Tells whether two requests are the same, whatever their ids, deadlines and connections are.
//!
//! ```
//! use azuregap_gateway::request_digest;
//!
//! let request = request_digest::Identity {
//!     method: "GET",
//!     host: "a.example",
//!     target: "/roster/7?full=1",
//!     team: Some("red"),
//!     body: b"",
//! };
//! let other_team = request_digest::Identity { team: Some("blue"), ..request };
//! assert_eq!(request.digest(), request.digest());
//! assert_ne!(request.digest(), other_team.digest());
//! ```

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use xxhash_rust::xxh3;

/// What two requests have in common if they are the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity<'a> {
    /// Method.
    pub method: &'a str,
    /// Host that the caller named, in any case.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Team of the caller's API key; `None` without a key that belongs to a team.
    pub team: Option<&'a str>,
    /// Body.
    pub body: &'a [u8],
}

impl Identity<'_> {
    /// Digest of the request, the same at all gateways.
    #[must_use]
    pub fn digest(&self) -> RequestDigest {
        let host = self.host.to_ascii_lowercase();
        let parts = [self.method, &host, self.target, self.team.unwrap_or_default()];
        let mut hasher = sha2::Sha256::new();
        hasher.update([u8::from(self.team.is_some())]);
        for part in parts.map(str::as_bytes).into_iter().chain([self.body]) {
            // Bytes that move from one part to the next change the digest.
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        let digest: [u8; 32] = hasher.finalize().into();
        let mut first = [0; 16];
        first.copy_from_slice(&digest[..16]);
        RequestDigest(u128::from_be_bytes(first))
    }
}

impl Identity<'_> {
    /// Hash of the request for use within one process, which is far cheaper than the digest.
    #[must_use]
    pub fn hash(&self, seed: u64) -> u64 {
        let mut hasher = xxh3::Xxh3::with_seed(seed);
        let parts = [self.method, self.host, self.target, self.team.unwrap_or_default()];
        for part in parts.map(str::as_bytes).into_iter().chain([self.body]) {
            hasher.update(&part.len().to_ne_bytes());
            hasher.update(part);
        }
        hasher.digest()
    }
}

/// First half of the SHA-256 digest of a request: callers can't make up another request that has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestDigest(pub u128);

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
