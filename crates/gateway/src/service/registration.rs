//! The entry of a gateway in the list of gateways, and how it gets there; see
//! [`crate::decision::membership`].

use std::net;

use azuregap_coordination::ids as store_ids;
use serde::Deserialize;
use serde::Serialize;

use crate::decision::membership;
use crate::state;
use crate::store;

/// Entry of a gateway in the store.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(super) struct Entry {
    pub(super) address: net::SocketAddr,
    /// Whether the gateway has been silent for long; it counts as listed until it is removed.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub(super) is_retired: bool,
    /// Era of the store in which all gateways that use a part of an allowance have counted this one
    /// since it was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    known_in: Option<store_ids::Era>,
    /// Whether it took the place of an entry with another address, and the gateway isn't known since.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_replacement: bool,
}

impl Entry {
    fn new(state: &state::State) -> Self {
        let address = state.settings.gossip_address;
        Self { address, is_retired: false, known_in: None, is_replacement: false }
    }

    /// Decodes the entry in a row.
    ///
    /// # Errors
    ///
    /// If the row holds something else, or can't be read.
    pub(super) fn decode(row: &store::Row) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(row.data.as_deref().unwrap_or_default())
    }

    fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an entry can be encoded as JSON")
    }

    /// Whether it lists this process.
    pub(super) fn is_of(&self, state: &state::State) -> bool {
        self.address == state.settings.gossip_address && !self.is_retired
    }
}

/// Writes this gateway into the list; returns the era of the store in which it did.
///
/// An entry that is there is replaced only as it was read, so that what it showed still holds.
pub(super) async fn register(
    state: &state::State,
    store: &store::Store,
) -> Result<store_ids::Era, store::StoreError> {
    let entry = Entry::new(state);
    let (receipt, precedent) = match commit(state, store, &entry, 0).await {
        Ok(receipt) => (receipt, membership::Precedent::Unknown),
        Err(store::StoreError::Conflict(rows)) => replace(state, store, entry, &rows).await?,
        Err(error) => return Err(error),
    };
    state.observe_era(receipt.era);
    state.registered.set(true);
    state.membership.borrow_mut().record_registration_after(precedent, state.clock.now());
    let (address, precedent) = (state.settings.gossip_address, precedent.name());
    tracing::info!(%address, precedent, "registered in the list of gateways");
    Ok(receipt.era)
}

/// Replaces the entry of this gateway in `rows`; returns what that one showed.
async fn replace(
    state: &state::State,
    store: &store::Store,
    entry: Entry,
    rows: &[store::Row],
) -> Result<(store::Receipt, membership::Precedent), store::StoreError> {
    let row = rows.iter().find(|row| row.key == state.settings.node);
    let version = row.map_or(0, |row| row.version);
    let Some(earlier) = row.and_then(|row| Entry::decode(row).ok()) else {
        let receipt = commit(state, store, &entry, version).await?;
        return Ok((receipt, membership::Precedent::Unknown));
    };
    let is_replacement = earlier.is_replacement || earlier.address != entry.address;
    let known_in = earlier.known_in.filter(|_| !is_replacement);
    let entry = Entry { known_in, is_replacement, ..entry };
    let receipt = commit(state, store, &entry, version).await?;
    Ok((receipt, membership::Precedent::of_entry(is_replacement, known_in, receipt.era)))
}

/// Writes into the entry of this gateway that all others that use a part have counted it, once they
/// have. `rows` is the list, of the era of the store in which this gateway registered.
pub(super) async fn save_known(state: &state::State, store: &store::Store, rows: &store::Rows) {
    let own = rows.rows.iter().find(|row| row.key == state.settings.node);
    let entry = own.and_then(|row| Some((row.version, Entry::decode(row).ok()?)));
    let Some((version, entry)) = entry.filter(|(_, entry)| entry.is_of(state)) else { return };
    let is_known = state.membership.borrow().is_known(state.clock.now());
    if !is_known || entry.known_in == Some(rows.era) {
        return;
    }
    let entry = Entry { known_in: Some(rows.era), is_replacement: false, ..entry };
    match commit(state, store, &entry, version).await {
        Ok(receipt) => {
            state.observe_era(receipt.era);
            tracing::info!(era = rows.era, "all gateways in the list have counted this one");
        }
        Err(error) => {
            let reason = error.to_string();
            tracing::info!(reason, "failed to save that all gateways have counted this one");
        }
    }
}

/// Content of an entry once it is retired.
pub(super) fn retire(row: &store::Row) -> Option<Vec<u8>> {
    Some(Entry { is_retired: true, ..Entry::decode(row).ok()? }.encode())
}

async fn commit(
    state: &state::State,
    store: &store::Store,
    entry: &Entry,
    expected_version: store_ids::RowVersion,
) -> Result<store::Receipt, store::StoreError> {
    let (key, data) = (state.settings.node.clone(), Some(entry.encode()));
    let write = store::Write { key, data, expected_version: Some(expected_version) };
    let table = store::Table::Gateways;
    (store.commit)(store::Commit { table, writes: vec![write], preconditions: Vec::new() }).await
}
