//! Registry in which services publish typed handles by name.

use std::any;
use std::collections;
use std::fmt;
use std::sync;

use crate::error;

type Handles = collections::HashMap<String, sync::Arc<dyn any::Any + Send + Sync>>;

/// Typed handles by service name; clones share the same handles.
#[derive(Clone, Default)]
pub struct Registry {
    handles: sync::Arc<sync::RwLock<Handles>>,
}

impl fmt::Debug for Registry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let handles = self.handles.read().unwrap_or_else(sync::PoisonError::into_inner);
        f.debug_list().entries(handles.keys()).finish()
    }
}

impl Registry {
    /// Registers `handle` under `name`, replacing an earlier one.
    pub fn register<T: Send + Sync + 'static>(&self, name: impl Into<String>, handle: T) {
        let mut handles = self.handles.write().unwrap_or_else(sync::PoisonError::into_inner);
        handles.insert(name.into(), sync::Arc::new(handle));
    }

    /// Looks up the handle registered under `name`.
    ///
    /// # Errors
    ///
    /// Returns [`error::KernelError`] if no handle is registered under `name` or its type is not
    /// `T`.
    pub fn find<T: Send + Sync + 'static>(
        &self,
        name: impl AsRef<str>,
    ) -> error::KernelResult<sync::Arc<T>> {
        let name = name.as_ref();
        let handles = self.handles.read().unwrap_or_else(sync::PoisonError::into_inner);
        let handle =
            handles.get(name).ok_or_else(|| error::KernelError::Missing(name.to_owned()))?;
        let handle = handle.clone();
        handle.downcast().map_err(|_| error::KernelError::WrongType(name.to_owned()))
    }
}
