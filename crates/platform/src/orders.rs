//! The interface that orders backend servers by availability zone.

use std::time;

use azuregap_core::ids;
use serde::Deserialize;
use serde::Serialize;

use crate::call;
use crate::error;

/// An order to the platform, posted as JSON to `/orders`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Id, the same over all resends; the platform carries an id out once.
    pub id: ids::OrderId,
    /// Fencing token of the lease the order was written under.
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

/// Carries one call.
pub type OrderCarrier = call::Carrier<ZoneOrder, OrderTaken>;

/// Client of the ordering interface.
#[derive(Clone, Debug)]
pub struct Orders {
    carrier: OrderCarrier,
}

impl Orders {
    /// A client whose orders are carried by `carry`.
    pub fn new<F>(carry: impl Fn(ZoneOrder) -> F + 'static) -> Self
    where
        F: Future<Output = error::PlatformResult<OrderTaken>> + 'static,
    {
        Self { carrier: call::Carrier::new(carry) }
    }

    /// A client over HTTP to the interface at `base`.
    #[must_use]
    pub fn http(base: impl Into<String>, timeout: time::Duration) -> Self {
        Self { carrier: call::Carrier::http(format!("{}/orders", base.into()), timeout) }
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// [`error::PlatformError::Refused`] when it certainly was not taken,
    /// [`error::PlatformError::Unknown`] when it may have been.
    pub async fn send(&self, order: ZoneOrder) -> error::PlatformResult<OrderTaken> {
        self.carrier.call(order).await
    }
}
