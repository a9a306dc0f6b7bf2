//! Reads the bodies of responses that are not streamed, within a limit that all of them share.
//!
//! A faulty backend server may send bytes without end. Such bodies are given up before they fill the
//! memory of the smallest VM, the longest ones first, and others are still read to their end.

use std::rc;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use hyper::body;
use hyper::body::Body as _;
use quick_error::quick_error;

use super::client;
use super::held_bytes;
use crate::state;

/// Maximum length of a body, and of all bodies that are being read at the same time, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// Length up to which a body is read although all of them are longer than [`MAX_BYTES`].
const ASSURED_BYTES: usize = 1 << 20;

/// Length up to which an answer is held although there is no memory for it: its request has run, and
/// ordinary callers get theirs also beside a crowd.
const ASSURED_ANSWER: usize = 16 << 10;

quick_error! {
    /// Why a body was not read to its end.
    #[derive(Debug)]
    pub enum CollectError {
        /// The connection failed.
        Failed(error: hyper::Error) {
            display("the response ended early: {}", error)
        }
        /// There is no memory for it.
        NoRoom {
            display("there is no memory for the response")
        }
        /// The body is too long.
        TooLong {
            display("the response is too long")
        }
    }
}

/// Length of a body that is being read, counted until it is dropped.
struct Counted {
    state: rc::Rc<state::State>,
    length: usize,
}

impl Counted {
    /// Counts bytes; returns whether there is room for them.
    fn add(&mut self, bytes: &[u8]) -> bool {
        let total = self.state.collected_bytes.get() + bytes.len();
        let length = self.length + bytes.len();
        if length > MAX_BYTES || (length > ASSURED_BYTES && total > MAX_BYTES) {
            return false;
        }
        self.state.collected_bytes.set(total);
        self.length = length;
        true
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        let total = self.state.collected_bytes.get();
        self.state.collected_bytes.set(total.saturating_sub(self.length));
    }
}

/// Reads a body to its end, for a client.
///
/// # Errors
///
/// If the connection fails, or if the body is too long.
pub(super) async fn read_to_end(
    state: &rc::Rc<state::State>,
    client: &client::Client,
    mut body: body::Incoming,
) -> Result<Bytes, CollectError> {
    let mut bytes = held_bytes::HeldBytes::new(state, client);
    let mut counted = Counted { state: state.clone(), length: 0 };
    let declared = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let longest = declared.unwrap_or(MAX_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(CollectError::Failed)?;
        let Some(data) = frame.data_ref() else { continue };
        if !counted.add(data) {
            return Err(CollectError::TooLong);
        }
        if !bytes.push(state, data, longest) && !bytes.push_uncounted(data, ASSURED_ANSWER) {
            return Err(CollectError::NoRoom);
        }
    }
    Ok(bytes.freeze())
}
