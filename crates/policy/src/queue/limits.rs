//! Limits of a queue.

/// Divisor of the number of slots that gives the default headroom.
const HEADROOM_DIVISOR: u32 = 16;

/// Limits of a queue, in requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Requests that may wait, in addition to one reserved place for each class with a floor.
    pub waiting: u32,
    /// Slots that lower tiers leave free while a higher tier is in use at this queue.
    pub headroom: u32,
}

impl Limits {
    /// Limits with the default headroom: a sixteenth of the slots, or none with a single slot.
    #[must_use]
    pub const fn new(slots: u32, waiting: u32) -> Self {
        let headroom = if slots > 1 { slots.div_ceil(HEADROOM_DIVISOR) } else { 0 };
        Self { slots, waiting, headroom }
    }

    /// Sets the headroom.
    #[must_use]
    pub const fn headroom(mut self, slots: u32) -> Self {
        self.headroom = slots;
        self
    }
}
