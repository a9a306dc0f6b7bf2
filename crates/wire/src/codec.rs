//! Encoding of messages and framing of answers.

use azuregap_core::code;
use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use quick_error::quick_error;
use serde::Serialize;
use serde::de;
use tokio_util::codec;
use tokio_util::codec::Decoder as _;
use tokio_util::codec::Encoder as _;

use crate::frame;

quick_error! {
    /// Why bytes could not be decoded.
    #[derive(Debug)]
    pub enum CodecError {
        /// The bytes are no message of this protocol.
        Unknown(reason: String) {
            display("{}: unknown message: {}", code::Code::MessageUnknown.number(), reason)
        }
        /// The message is larger than allowed.
        TooLarge(size: usize) {
            display("{}: message of {} bytes", code::Code::MessageTooLarge.number(), size)
        }
    }
}

impl CodecError {
    /// The numbered code.
    #[must_use]
    pub const fn code(&self) -> code::Code {
        match self {
            Self::Unknown(_) => code::Code::MessageUnknown,
            Self::TooLarge(_) => code::Code::MessageTooLarge,
        }
    }
}

/// Encodes a message.
///
/// # Panics
///
/// Never for the types of this crate: they hold only what postcard can encode.
#[must_use]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("messages hold only encodable data")
}

/// Decodes a message of at most [`crate::MAX_MESSAGE`] bytes.
///
/// # Errors
///
/// [`CodecError`] when the bytes are too many or no such message.
pub fn decode<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    decode_up_to(bytes, crate::MAX_MESSAGE)
}

/// Decodes a message of at most `limit` bytes.
///
/// # Errors
///
/// [`CodecError`] when the bytes are too many or no such message.
pub fn decode_up_to<T: de::DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T, CodecError> {
    if bytes.len() > limit {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    postcard::from_bytes(bytes).map_err(|error| CodecError::Unknown(error.to_string()))
}

/// Writes one frame with its length before it.
///
/// # Errors
///
/// [`CodecError::TooLarge`] when the frame is over [`crate::MAX_FRAME`].
pub fn write_frame(frame: &frame::Frame) -> Result<Bytes, CodecError> {
    let body = encode(frame);
    let size = body.len();
    let mut out = BytesMut::with_capacity(size + 4);
    framing().encode(Bytes::from(body), &mut out).map_err(|_| CodecError::TooLarge(size))?;
    Ok(out.freeze())
}

/// Cuts a byte stream back into frames.
#[derive(Debug)]
pub struct FrameReader {
    framing: codec::LengthDelimitedCodec,
    pending: BytesMut,
}

impl Default for FrameReader {
    fn default() -> Self {
        Self { framing: framing(), pending: BytesMut::new() }
    }
}

impl FrameReader {
    /// Adds bytes as they came from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The next whole frame, if one is there.
    ///
    /// # Errors
    ///
    /// [`CodecError`] when the bytes are no frame; the connection is of no further use then.
    pub fn next_frame(&mut self) -> Result<Option<frame::Frame>, CodecError> {
        let size = self.pending.remaining();
        match self.framing.decode(&mut self.pending) {
            Ok(Some(body)) => decode(&body).map(Some),
            Ok(None) => Ok(None),
            Err(_) => Err(CodecError::TooLarge(size)),
        }
    }
}

fn framing() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder().max_frame_length(crate::MAX_FRAME).new_codec()
}
