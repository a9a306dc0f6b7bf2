//! Reads the bodies of responses that are not streamed, within a limit that all of them share.
//!
//! A faulty backend server may send bytes without end. Such bodies are given up before they fill the
//! memory of the smallest VM, the longest ones first, and others are still read to their end.

use std::rc;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt as _;
use hyper::body;
use quick_error::quick_error;

use crate::state;

/// Maximum length of a body, and of all bodies that are being read at the same time, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// Length up to which a body is read although all of them are longer than [`MAX_BYTES`].
const ASSURED_BYTES: usize = 1 << 20;

quick_error! {
    /// Why a body was not read to its end.
    #[derive(Debug)]
    pub enum CollectError {
        /// The connection failed.
        Failed(error: hyper::Error) {
            display("the response ended early: {}", error)
        }
        /// The body is too long.
        TooLong {
            display("the response is too long")
        }
    }
}

/// Bytes of a body, counted until it is dropped.
struct Counted {
    state: rc::Rc<state::State>,
    bytes: BytesMut,
}

impl Counted {
    /// Adds bytes; returns whether there is room for them.
    fn add(&mut self, bytes: &[u8]) -> bool {
        let total = self.state.collected_bytes.get() + bytes.len();
        let length = self.bytes.len() + bytes.len();
        if length > MAX_BYTES || (length > ASSURED_BYTES && total > MAX_BYTES) {
            return false;
        }
        self.state.collected_bytes.set(total);
        self.bytes.extend_from_slice(bytes);
        true
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let total = self.state.collected_bytes.get();
        self.state.collected_bytes.set(total.saturating_sub(self.bytes.len()));
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// If the connection fails, or if the body is too long.
pub(super) async fn read_to_end(
    state: &rc::Rc<state::State>,
    mut body: body::Incoming,
) -> Result<Bytes, CollectError> {
    let mut counted = Counted { state: state.clone(), bytes: BytesMut::new() };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(CollectError::Failed)?;
        if frame.data_ref().is_some_and(|data| !counted.add(data)) {
            return Err(CollectError::TooLong);
        }
    }
    Ok(Bytes::copy_from_slice(&counted.bytes))
}
