//! Coordination parts to embed: lease, versioned configuration, membership, claims and usage ledger.
