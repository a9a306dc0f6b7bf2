//! The object store.

use std::collections;
use std::time;

use azuregap_platform::error;
use azuregap_platform::objects;
use bytes::Bytes;

use crate::service;

/// Objects by their keys.
#[derive(Clone, Debug, Default)]
pub struct State {
    objects: collections::BTreeMap<String, Bytes>,
}

/// The object store behind its fault switches.
pub type Objects = service::Service<State>;

impl State {
    /// Carries out one call.
    pub fn apply(&mut self, call: objects::ObjectCall) -> objects::ObjectReply {
        match call {
            objects::ObjectCall::Put { key, bytes } => {
                self.objects.insert(key, bytes);
                objects::ObjectReply::Stored
            }
            objects::ObjectCall::Read { key } => match self.objects.get(&key) {
                Some(bytes) => objects::ObjectReply::Found { bytes: bytes.clone() },
                None => objects::ObjectReply::Absent,
            },
        }
    }
}

impl Objects {
    /// An in-process client that waits at most `timeout` for an answer.
    #[must_use]
    pub fn client(&self, timeout: time::Duration) -> objects::Objects {
        let service = self.clone();
        objects::Objects::new(move |call| {
            let service = service.clone();
            let effect = effect(&call);
            async move { service.call_within(timeout, effect, |state| Ok(state.apply(call))).await }
        })
    }

    /// Carries out one call that came over HTTP.
    pub(crate) async fn serve(
        &self,
        call: objects::ObjectCall,
    ) -> error::PlatformResult<objects::ObjectReply> {
        self.call(effect(&call), |state| Ok(state.apply(call))).await
    }
}

const fn effect(call: &objects::ObjectCall) -> service::Effect {
    match call {
        objects::ObjectCall::Put { .. } => service::Effect::Change,
        objects::ObjectCall::Read { .. } => service::Effect::Read,
    }
}
