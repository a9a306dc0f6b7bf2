//! What the clients share: a closure that carries one call.

use std::fmt;
use std::rc;
use std::time;

use futures::future;
use futures::future::FutureExt as _;
use serde::Serialize;
use serde::de;

use crate::error;
use crate::http;
use crate::strict;

type Carry<Q, R> = rc::Rc<dyn Fn(Q) -> future::LocalBoxFuture<'static, error::PlatformResult<R>>>;

/// Carries calls of type `Q` to a service and brings back answers of type `R`.
pub struct Carrier<Q, R> {
    carry: Carry<Q, R>,
}

impl<Q, R> Clone for Carrier<Q, R> {
    fn clone(&self) -> Self {
        Self { carry: self.carry.clone() }
    }
}

impl<Q, R> fmt::Debug for Carrier<Q, R> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Carrier").finish_non_exhaustive()
    }
}

impl<Q: 'static, R: 'static> Carrier<Q, R> {
    /// A carrier that hands each call to `carry`.
    pub fn new<F>(carry: impl Fn(Q) -> F + 'static) -> Self
    where
        F: Future<Output = error::PlatformResult<R>> + 'static,
    {
        Self { carry: rc::Rc::new(move |call| carry(call).boxed_local()) }
    }

    /// A carrier that posts each call as JSON to `url`.
    #[must_use]
    pub fn http(url: String, timeout: time::Duration) -> Self
    where
        Q: Serialize,
        R: de::DeserializeOwned,
    {
        let client = strict::client();
        Self::new(move |call| {
            let (client, url) = (client.clone(), url.clone());
            async move { http::post(&client, &url, &call, timeout).await }
        })
    }

    /// Carries one call.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError`] when there is no result.
    pub async fn call(&self, call: Q) -> error::PlatformResult<R> {
        (self.carry)(call).await
    }
}
