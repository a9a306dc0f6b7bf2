//! Bytes that are counted in the memory budget as long as they are held.

use std::rc;

use bytes::Bytes;

use super::client;
use crate::decision::memory_budget;
use crate::state;

/// Bytes that grow within the memory budget.
#[derive(Debug)]
pub(super) struct HeldBytes {
    bytes: Vec<u8>,
    reservation: memory_budget::Reservation,
}

impl HeldBytes {
    /// Creates an empty buffer for what a client sends or gets.
    pub(super) fn new(state: &state::State, client: &client::Client) -> Self {
        let budget = state.memory_budget.clone();
        let reservation = memory_budget::Reservation::new(budget, client.id());
        Self { bytes: Vec::new(), reservation }
    }

    pub(super) const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Adds bytes if there is room for them; returns whether there is. `longest` is the length that the
    /// buffer will have at most.
    pub(super) fn push(&mut self, state: &state::State, bytes: &[u8], longest: usize) -> bool {
        let needed = self.bytes.len() + bytes.len();
        if needed > self.bytes.capacity() {
            let capacity = needed.next_power_of_two().min(longest.max(needed));
            if !self.reserve(state, capacity - self.bytes.capacity()) {
                return false;
            }
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        true
    }

    /// Adds bytes without counting them, up to a length; returns whether they were added.
    pub(super) fn push_uncounted(&mut self, bytes: &[u8], max_length: usize) -> bool {
        let is_short = self.bytes.len() + bytes.len() <= max_length;
        if is_short {
            self.bytes.extend_from_slice(bytes);
        }
        is_short
    }

    fn reserve(&mut self, state: &state::State, bytes: usize) -> bool {
        grow(state, &mut self.reservation, bytes)
    }

    /// The bytes, which are counted until their last part is dropped.
    pub(super) fn freeze(self) -> Bytes {
        if self.bytes.is_empty() { Bytes::new() } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reserves memory, and closes the client that gives way for it; returns whether there is room.
pub(super) fn grow(
    state: &state::State,
    reservation: &mut memory_budget::Reservation,
    bytes: usize,
) -> bool {
    let lag = |id| state.clients.get(id)?.activity().lag();
    let outcome = reservation.grow(bytes, lag);
    if let memory_budget::Outcome::GrantedFor(victim) = outcome
        && let Some(victim) = state.clients.get(victim)
    {
        victim.evict(client::Eviction::Memory);
    }
    outcome != memory_budget::Outcome::Refused
}

/// Counts bytes that wait for a client; `None` if there is no room for them.
pub(super) fn hold(
    state: &rc::Rc<state::State>,
    client: &client::Client,
    bytes: &Bytes,
) -> Option<Bytes> {
    let mut held = HeldBytes::new(state, client);
    held.push(state, bytes, bytes.len()).then(|| held.freeze())
}
