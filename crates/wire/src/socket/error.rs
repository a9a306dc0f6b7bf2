//! Errors of control sockets.

use azuregap_core::code;
use quick_error::quick_error;

use crate::codec;

quick_error! {
    /// Error of opening a control socket or of a control request.
    #[derive(Debug)]
    pub enum SocketError {
        /// The address is invalid or cannot be bound.
        Address(address: String, reason: String) {
            display("{}: cannot use '{}': {}", code::Code::PeerUnavailable.number(), address, reason)
        }
        /// The request could not be sent or no reply arrived before the timeout.
        NoReply(address: String) {
            display("{}: no reply from '{}'", code::Code::PeerUnavailable.number(), address)
        }
        /// The reply could not be decoded.
        Codec(error: codec::CodecError) {
            from()
            display("{}", error)
        }
    }
}
