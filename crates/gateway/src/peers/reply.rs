//! What a gateway answers to a message of another one.

/// What the sender of a message expects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Nothing.
    None,
    /// A message that shows that its counts have arrived.
    Acknowledgement,
    /// A message that shows that this gateway knows it.
    Introduction,
    /// The usage counts of this gateway.
    Counts,
}
