//! Where services find each other by name.

use std::any;
use std::collections;
use std::fmt;
use std::sync;

use crate::error;

type Offers = collections::HashMap<String, sync::Arc<dyn any::Any + Send + Sync>>;

/// Typed handles by service name; clones share the same handles.
#[derive(Clone, Default)]
pub struct Registry {
    offers: sync::Arc<sync::RwLock<Offers>>,
}

impl fmt::Debug for Registry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let offers = self.offers.read().unwrap_or_else(sync::PoisonError::into_inner);
        f.debug_list().entries(offers.keys()).finish()
    }
}

impl Registry {
    /// Offers `handle` under `name`, in place of an earlier one.
    pub fn register<T: Send + Sync + 'static>(&self, name: impl Into<String>, handle: T) {
        let mut offers = self.offers.write().unwrap_or_else(sync::PoisonError::into_inner);
        offers.insert(name.into(), sync::Arc::new(handle));
    }

    /// Finds the handle offered under `name`.
    ///
    /// # Errors
    ///
    /// [`error::KernelError`] when nothing is offered there or it has another type.
    pub fn find<T: Send + Sync + 'static>(
        &self,
        name: impl AsRef<str>,
    ) -> error::KernelResult<sync::Arc<T>> {
        let name = name.as_ref();
        let offers = self.offers.read().unwrap_or_else(sync::PoisonError::into_inner);
        let handle =
            offers.get(name).ok_or_else(|| error::KernelError::Missing(name.to_owned()))?;
        let handle = handle.clone();
        handle.downcast().map_err(|_| error::KernelError::WrongType(name.to_owned()))
    }
}
