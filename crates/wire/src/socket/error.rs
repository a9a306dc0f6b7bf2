//! Why a control message got no reply.

use azuregap_core::code;
use quick_error::quick_error;

use crate::codec;

quick_error! {
    /// Why a control message got no reply.
    #[derive(Debug)]
    pub enum SocketError {
        /// The address cannot be used.
        Address(address: String, reason: String) {
            display("{}: cannot use '{}': {}", code::Code::PeerUnavailable.number(), address, reason)
        }
        /// No reply came in time.
        NoReply(address: String) {
            display("{}: no reply from '{}'", code::Code::PeerUnavailable.number(), address)
        }
        /// The reply could not be read.
        Codec(error: codec::CodecError) {
            from()
            display("{}", error)
        }
    }
}
