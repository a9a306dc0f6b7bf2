//! Message encoding and response framing.

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
    /// Error of encoding or decoding a message.
    #[derive(Debug)]
    pub enum CodecError {
        /// The bytes are not a valid message of this protocol.
        Unknown(reason: String) {
            display("{}: unknown message: {}", code::Code::MessageUnknown.number(), reason)
        }
        /// The message exceeds the maximum size.
        TooLarge(size: usize) {
            display("{}: message of {} bytes", code::Code::MessageTooLarge.number(), size)
        }
    }
}

impl CodecError {
    /// Returns the result code.
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
/// Never panics for the types of this crate, because postcard can encode all their fields.
#[must_use]
pub fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(message).expect("message contains only data that postcard can encode")
}

/// Decodes a message of at most [`crate::MAX_MESSAGE`] bytes.
///
/// # Errors
///
/// Returns [`CodecError`] if the bytes exceed the limit or are not a valid message.
pub fn decode<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    decode_up_to(bytes, crate::MAX_MESSAGE)
}

/// Decodes a message of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`CodecError`] if the bytes exceed the limit or are not a valid message.
pub fn decode_up_to<T: de::DeserializeOwned>(bytes: &[u8], limit: usize) -> Result<T, CodecError> {
    if bytes.len() > limit {
        return Err(CodecError::TooLarge(bytes.len()));
    }
    postcard::from_bytes(bytes).map_err(|error| CodecError::Unknown(error.to_string()))
}

/// Encodes a frame with a length prefix.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] if the frame exceeds [`crate::MAX_FRAME`].
pub fn write_frame(frame: &frame::Frame) -> Result<Bytes, CodecError> {
    let body = encode(frame);
    let size = body.len();
    let mut out = BytesMut::with_capacity(size + 4);
    framing().encode(Bytes::from(body), &mut out).map_err(|_| CodecError::TooLarge(size))?;
    Ok(out.freeze())
}

/// Incremental decoder that splits a byte stream into frames.
#[derive(Debug)]
pub struct FrameReader {
    framing: codec::LengthDelimitedCodec,
    buffer: BytesMut,
}

impl Default for FrameReader {
    fn default() -> Self {
        Self { framing: framing(), buffer: BytesMut::new() }
    }
}

impl FrameReader {
    /// Appends bytes received from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next frame, or `None` if it has not been received completely.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if the bytes are not a valid frame; the stream cannot be read any
    /// further.
    pub fn next_frame(&mut self) -> Result<Option<frame::Frame>, CodecError> {
        let size = self.buffer.remaining();
        match self.framing.decode(&mut self.buffer) {
            Ok(Some(body)) => decode(&body).map(Some),
            Ok(None) => Ok(None),
            Err(_) => Err(CodecError::TooLarge(size)),
        }
    }
}

fn framing() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder().max_frame_length(crate::MAX_FRAME).new_codec()
}
