//! A team as the operator declared it.

use super::snapshot;

/// A team with its keys, as the operator declared it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeclaredTeam {
    /// The team.
    pub team: snapshot::Team,
    /// Its keys.
    pub keys: Vec<String>,
}

impl DeclaredTeam {
    /// Its keys that a client can send.
    pub fn sendable_keys(&self) -> impl Iterator<Item = &str> {
        self.keys.iter().map(String::as_str).filter(|key| is_sendable(key))
    }
}

/// Whether a client can send a key in a header: it isn't empty, is of visible ASCII characters, and
/// neither begins nor ends with a space, which a receiver strips.
#[must_use]
pub(super) fn is_sendable(key: &str) -> bool {
    let is_visible = |byte: u8| byte.is_ascii_graphic() || byte == b' ';
    !key.is_empty() && key.trim() == key && key.bytes().all(is_visible)
}
