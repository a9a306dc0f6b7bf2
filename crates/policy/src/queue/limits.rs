//! Bounds of a queue.

/// One slot in this many is kept free for a higher tier.
const HEADROOM_SHARE: u32 = 16;

/// Bounds of a queue, in requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that may wait, besides one reserved place for each class with a floor.
    pub waiting: u32,
    /// Slots that lower tiers leave free while a higher tier is in use at this queue.
    pub headroom: u32,
}

impl Limits {
    /// Bounds with the default headroom of a sixteenth of the slots; none with a single slot.
    #[must_use]
    pub const fn new(slots: u32, waiting: u32) -> Self {
        let headroom = if slots > 1 { slots.div_ceil(HEADROOM_SHARE) } else { 0 };
        Self { slots, waiting, headroom }
    }

    /// Sets the headroom.
    #[must_use]
    pub const fn headroom(mut self, slots: u32) -> Self {
        self.headroom = slots;
        self
    }
}
