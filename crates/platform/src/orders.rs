//! The interface that orders backend servers by availability zone.

use std::fmt;
use std::rc;
use std::time;

use azuregap_core::ids;
use futures::future;
use futures::future::FutureExt as _;
use serde::Deserialize;
use serde::Serialize;

use crate::error;
use crate::http;

/// An order to the platform, posted as JSON to `/orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Id, the same over all resends; the platform carries an id out once.
    pub id: ids::OrderId,
    /// Fencing number of the lease the order was written under.
    pub fence: ids::Fence,
    /// Availability zone.
    pub zone: ids::ZoneId,
    /// What to do.
    pub action: ZoneAction,
}

/// What an order asks of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneAction {
    /// Start a backend server of a pool.
    Start {
        /// Name it will have.
        backend: ids::BackendId,
        /// The pool.
        pool: ids::PoolId,
    },
    /// Stop a backend server.
    Stop {
        /// Its name.
        backend: ids::BackendId,
    },
}

/// The platform took the order, now or earlier.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderTaken {
    /// The order.
    pub id: ids::OrderId,
    /// Whether it had been taken before.
    pub repeated: bool,
}

/// Carries one order.
pub type OrderCarrier =
    rc::Rc<dyn Fn(ZoneOrder) -> future::LocalBoxFuture<'static, error::PlatformResult<OrderTaken>>>;

/// Client of the ordering interface.
#[derive(Clone)]
pub struct Orders {
    carry: OrderCarrier,
}

impl fmt::Debug for Orders {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Orders").finish_non_exhaustive()
    }
}

impl Orders {
    /// A client whose orders are carried by `carry`.
    pub fn new<F>(carry: impl Fn(ZoneOrder) -> F + 'static) -> Self
    where
        F: Future<Output = error::PlatformResult<OrderTaken>> + 'static,
    {
        Self { carry: rc::Rc::new(move |order| carry(order).boxed_local()) }
    }

    /// A client over HTTP to the interface at `base`.
    #[must_use]
    pub fn http(base: impl Into<String>, timeout: time::Duration) -> Self {
        let url = format!("{}/orders", base.into());
        let client = awc::Client::default();
        Self::new(move |order| {
            let (client, url) = (client.clone(), url.clone());
            async move { http::post(&client, &url, &order, timeout).await }
        })
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] when it certainly was not taken,
    /// [`error::PlatformError::Unknown`] when it may have been.
    pub async fn send(&self, order: ZoneOrder) -> error::PlatformResult<OrderTaken> {
        (self.carry)(order).await
    }
}
