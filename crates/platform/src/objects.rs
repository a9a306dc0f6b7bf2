//! The object store.

use std::time;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;

use crate::call;
use crate::error;

/// A call to the object store, posted as JSON to `/objects`.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectCall {
    /// Stores bytes, in place of what was there.
    Put {
        /// Key of the object.
        key: String,
        /// The bytes; hexadecimal digits in JSON.
        #[serde_as(as = "serde_with::hex::Hex")]
        bytes: Bytes,
    },
    /// Reads an object.
    Read {
        /// Its key.
        key: String,
    },
}

/// The answer of the object store.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectReply {
    /// The object is stored.
    Stored,
    /// The object read.
    Found {
        /// The bytes; hexadecimal digits in JSON.
        #[serde_as(as = "serde_with::hex::Hex")]
        bytes: Bytes,
    },
    /// There is no such object.
    Absent,
}

/// Client of the object store.
#[derive(Clone, Debug)]
pub struct Objects {
    carrier: call::Carrier<ObjectCall, ObjectReply>,
}

impl Objects {
    /// A client whose calls are carried by `carry`.
    pub fn new<F>(carry: impl Fn(ObjectCall) -> F + 'static) -> Self
    where
        F: Future<Output = error::PlatformResult<ObjectReply>> + 'static,
    {
        Self { carrier: call::Carrier::new(carry) }
    }

    /// A client over HTTP to the store at `base`.
    #[must_use]
    pub fn http(base: impl Into<String>, timeout: time::Duration) -> Self {
        Self { carrier: call::Carrier::http(format!("{}/objects", base.into()), timeout) }
    }

    /// Stores `bytes` under `key`, in place of what was there.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] when they certainly were not stored,
    /// [`error::PlatformError::Unknown`] when they may have been.
    pub async fn put(
        &self,
        key: impl Into<String>,
        bytes: impl Into<Bytes>,
    ) -> error::PlatformResult<()> {
        let call = ObjectCall::Put { key: key.into(), bytes: bytes.into() };
        match self.carrier.call(call).await? {
            ObjectReply::Stored => Ok(()),
            ObjectReply::Found { .. } | ObjectReply::Absent => Err(error::unexpected()),
        }
    }

    /// Reads the object under `key`.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when the store gave no result.
    pub async fn read(&self, key: impl Into<String>) -> error::PlatformResult<Option<Bytes>> {
        match self.carrier.call(ObjectCall::Read { key: key.into() }).await? {
            ObjectReply::Found { bytes } => Ok(Some(bytes)),
            ObjectReply::Absent => Ok(None),
            ObjectReply::Stored => Err(error::unexpected()),
        }
    }
}
