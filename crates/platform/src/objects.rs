//! The object store.
