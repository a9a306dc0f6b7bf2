//! Reads the bodies of requests within the memory budget.

use std::pin;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::body::Body as _;
use tokio::time;

use super::client;
use super::held_bytes;
use crate::state;

/// Longest body that is discarded before the request on which it came is refused; longer ones are
/// refused at once.
const MAX_DISCARDED: usize = 64 << 10;

/// Time for which a body is discarded.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Why a body was not read to its end; the request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BodyFailure {
    /// It is longer than the configuration allows.
    TooLong,
    /// The connection failed, or what came is no body.
    Incomplete,
    /// The client stopped sending.
    Stalled,
    /// There is no memory for it.
    NoRoom,
    /// The process exits.
    Stopping,
}

impl BodyFailure {
    /// Label of the metric, if a limit was the cause.
    pub(super) const fn reason(self) -> Option<&'static str> {
        match self {
            Self::TooLong => Some("long_body"),
            Self::Stalled => Some("slow_body"),
            Self::NoRoom => Some("memory"),
            Self::Incomplete | Self::Stopping => None,
        }
    }
}

/// Reads a body to its end. `max_length` is the length that the configuration allows.
///
/// # Errors
///
/// If it is not read to its end; the rest is not read.
pub(super) async fn read(
    state: &rc::Rc<state::State>,
    client: &client::Client,
    body: &mut body::Incoming,
    max_length: usize,
) -> Result<Bytes, BodyFailure> {
    let declared = body.size_hint().exact().map(usize::try_from);
    let longest = match declared {
        Some(Ok(length)) if length <= max_length => length,
        Some(_) => return Err(BodyFailure::TooLong),
        None => max_length,
    };
    let mut bytes = held_bytes::HeldBytes::new(state, client);
    let mut evicted = pin::pin!(client.wait_for_eviction());
    let mut exit = pin::pin!(state.wait_for_exit());
    let mut pause = pin::pin!(time::sleep(client::MAX_BODY_PAUSE));
    loop {
        let frame = tokio::select! {
            biased;
            _ = evicted.as_mut() => return Err(BodyFailure::NoRoom),
            () = exit.as_mut() => return Err(BodyFailure::Stopping),
            frame = body.frame() => frame,
            () = pause.as_mut() => {
                let waited = client.silence();
                if waited >= client::MAX_BODY_PAUSE {
                    return Err(BodyFailure::Stalled);
                }
                pause.as_mut().reset(time::Instant::now() + client::MAX_BODY_PAUSE - waited);
                continue;
            }
        };
        let data = match frame {
            None => return Ok(bytes.freeze()),
            Some(Err(_)) => return Err(BodyFailure::Incomplete),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        if bytes.len() + data.len() > max_length {
            return Err(BodyFailure::TooLong);
        }
        if !bytes.push(state, &data, longest) {
            return Err(BodyFailure::NoRoom);
        }
    }
}

/// Discards the rest of a body if it is short, so that the connection can go on; returns whether it
/// has ended.
pub(super) async fn discard(
    state: &state::State,
    client: &client::Client,
    body: &mut body::Incoming,
) -> bool {
    if body.size_hint().lower() > MAX_DISCARDED as u64 {
        return false;
    }
    let mut left = MAX_DISCARDED;
    let discarding = async {
        while let Some(Ok(frame)) = body.frame().await {
            left = left.saturating_sub(frame.data_ref().map_or(0, Bytes::len));
            if left == 0 {
                break;
            }
        }
        body.is_end_stream()
    };
    tokio::select! {
        discarded = time::timeout(DISCARD_TIME, discarding) => discarded.unwrap_or(false),
        _ = client.wait_for_eviction() => false,
        () = state.wait_for_exit() => false,
    }
}
