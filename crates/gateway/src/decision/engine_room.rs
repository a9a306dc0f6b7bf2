//! Decides how much work a model engine gets at a time.
//!
//! An engine reads prompts in chunks between the tokens of its streams, so a stream stands still for
//! as long as the engine reads between two of its events. Within the pause that the most sensitive
//! stream on an engine tolerates, less the time that an event takes there without prompts, the
//! engine can read some tokens: that is its room. Work beyond it makes every stream there late,
//! while engines of the other kind may have room for it; see [`super::placement`]. This handles
//! bursts of long prompts that arrive together.
//!
//! ```
//! use azuregap_gateway::decision::engine_room;
//! use tokio::time::Duration;
//!
//! let mut rooms = engine_room::EngineRooms::default();
//! rooms.observe_event(Duration::from_millis(30));
//! assert_eq!(rooms.room(Duration::from_millis(250), 50.0), 11_000);
//! ```

use std::time::Duration;

use super::priority;
use crate::directory;

/// Weight of an event time that is shorter than the estimate.
const SMOOTHING_DOWN: f64 = 0.2;

/// Weight of an event time that is longer than the estimate: prompts that were read beside it may
/// be in it.
const SMOOTHING_UP: f64 = 0.02;

/// Part of a pause that an event takes at most: a service whose events take longer is slow for
/// another reason than prompts.
const MAX_EVENT_SHARE: f64 = 0.5;

/// Pauses that the streams of each rank tolerate, as far as routes of the service name any.
pub type RankGaps = [Option<Duration>; priority::RANK_COUNT];

/// Work of all gateways at the engines of one service.
#[derive(Debug, Default)]
pub struct EngineRooms {
    /// Time of an event beside which no prompt is read, in seconds.
    event: Option<f64>,
}

impl EngineRooms {
    /// Records the shortest time between two events of a stream.
    pub fn observe_event(&mut self, shortest: Duration) {
        let sample = shortest.as_secs_f64();
        let event = self.event.get_or_insert(sample);
        let weight = if sample < *event { SMOOTHING_DOWN } else { SMOOTHING_UP };
        *event += weight * (sample - *event);
    }

    /// Prompt tokens that may wait or be read at an engine whose streams tolerate a pause, if it
    /// reads `rate` of them per millisecond.
    #[must_use]
    pub fn room(&self, pause: Duration, rate: f64) -> u64 {
        let pause = pause.as_secs_f64();
        let event = self.event.unwrap_or(0.0).min(pause * MAX_EVENT_SHARE);
        ((pause - event) * 1_000.0 * rate) as u64
    }
}

/// The shortest pause that a request's own stream and the streams at an engine tolerate; `None` if
/// none of them names one.
#[must_use]
pub fn tolerated_pause(
    own: Option<Duration>,
    gaps: &RankGaps,
    load: &directory::Load,
) -> Option<Duration> {
    let running = load.ranks.iter().zip(gaps).filter(|(load, _)| load.in_flight > 0);
    running.filter_map(|(_, gap)| *gap).chain(own).min()
}
