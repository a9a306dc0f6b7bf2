//! What a client's connection does.

use std::cell;
use std::rc;
use std::sync;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time;

use crate::configuration;
use crate::decision::connection_limit;
use crate::decision::memory_budget;
use crate::decision::progress;
use crate::state;

/// Time for which a client may leave an answer unread; longer than clients wait between events.
pub(super) const MAX_UNREAD_TIME: Duration = Duration::from_secs(8);

/// Time for which a client may send nothing of a body that it has begun.
pub(super) const MAX_BODY_PAUSE: Duration = Duration::from_secs(10);

/// Longest time for which a connection is kept until its client has closed its side.
const MAX_LINGER: Duration = Duration::from_secs(2);

/// The same for a connection that gives way to another one.
const EVICTED_LINGER: Duration = Duration::from_millis(200);

/// How much longer than the configuration says a client may take for a head. The process may have
/// been suspended in between.
const HEAD_MARGIN: u32 = 2;

/// How much longer than the configuration says, in thirds, a client may be idle. Clients that stay
/// within the limit never send on a connection that is being closed.
const IDLE_THIRDS: u32 = 4;

/// What the process and the client do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// There is no request.
    Idle,
    /// The client sends the head of a request, since a time.
    Head(time::Instant),
    /// The client sends the body of a request.
    Body,
    /// A backend server works on the request.
    Running,
    /// The answer is sent.
    Answer,
}

/// Why a connection is closed, or the request on it refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Eviction {
    /// Its memory is needed.
    Memory,
    /// Its descriptor is needed.
    Connection,
}

impl Eviction {
    /// Label of the metric.
    pub(super) const fn reason(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Connection => "connections",
        }
    }
}

/// A client's connection.
#[derive(Debug)]
pub struct Client {
    id: memory_budget::HolderId,
    state: rc::Weak<state::State>,
    stage: cell::Cell<Stage>,
    /// When the client last sent something.
    read_at: cell::Cell<time::Instant>,
    /// Whether bytes were read that may belong to a later request.
    has_unread: cell::Cell<bool>,
    /// How far it is behind in what it sends or reads now.
    progress: cell::Cell<progress::Progress>,
    /// Since when the client has not read what was sent.
    blocked_since: cell::Cell<Option<time::Instant>>,
    /// When the client last was slower than what was sent.
    blocked_at: cell::Cell<Option<time::Instant>>,
    /// Whether the process waits until the client closes the connection, since it has taken its answer.
    is_lingering: cell::Cell<bool>,
    /// Whether the body of the answer has been passed on to the connection.
    is_answered: cell::Cell<bool>,
    /// Whether the client may still be sending when the connection is closed.
    is_sending: cell::Cell<bool>,
    evicted: watch::Sender<Option<Eviction>>,
}

impl Client {
    pub(super) fn new(id: memory_budget::HolderId, state: &rc::Rc<state::State>) -> Self {
        Self {
            id,
            state: rc::Rc::downgrade(state),
            stage: cell::Cell::new(Stage::Idle),
            read_at: cell::Cell::new(time::Instant::now()),
            has_unread: cell::Cell::new(false),
            progress: cell::Cell::default(),
            blocked_since: cell::Cell::new(None),
            blocked_at: cell::Cell::new(None),
            is_lingering: cell::Cell::new(false),
            is_answered: cell::Cell::new(false),
            is_sending: cell::Cell::new(false),
            evicted: watch::Sender::new(None),
        }
    }

    /// An empty reservation for the connection.
    pub(super) fn reservation(&self, state: &state::State) -> memory_budget::Reservation {
        memory_budget::Reservation::new(state.memory_budget.clone(), self.id)
    }

    pub(super) const fn id(&self) -> memory_budget::HolderId {
        self.id
    }

    pub(super) fn set_stage(&self, stage: Stage) {
        self.stage.set(stage);
        self.is_answered.set(false);
        let mut progress = progress::Progress::default();
        if matches!(stage, Stage::Head(_) | Stage::Body) {
            progress.start(time::Instant::now());
        }
        self.progress.set(progress);
    }

    fn change_progress(&self, change: impl FnOnce(&mut progress::Progress)) {
        let mut progress = self.progress.get();
        change(&mut progress);
        self.progress.set(progress);
    }

    /// Records that the client sent some bytes.
    pub(super) fn record_read(&self, bytes: usize) {
        let now = time::Instant::now();
        self.read_at.set(now);
        match self.stage.get() {
            Stage::Idle => self.set_stage(Stage::Head(now)),
            Stage::Head(_) | Stage::Body => {
                self.change_progress(|progress| progress.advance(bytes, now));
            }
            Stage::Running | Stage::Answer => {}
        }
    }

    /// Records how many bytes the client has taken, or that it takes none.
    pub(super) fn record_write(&self, taken: Option<usize>) {
        let (now, is_blocked) = (time::Instant::now(), taken.is_none());
        if self.stage.get() == Stage::Answer {
            self.change_progress(|progress| match taken {
                None => progress.start(now),
                Some(bytes) => {
                    progress.advance(bytes, now);
                    progress.stop(now);
                }
            });
        }
        if is_blocked || self.blocked_since.get().is_some() {
            self.blocked_at.set(Some(now));
        }
        let since = self.blocked_since.get().unwrap_or(now);
        self.blocked_since.set(is_blocked.then_some(since));
    }

    /// Records that the connection has taken the whole answer.
    pub(super) fn record_answered(&self) {
        self.is_answered.set(true);
    }

    /// Records that the connection has sent all that it had.
    pub(super) fn record_flush(&self) {
        if self.stage.get() == Stage::Answer && self.is_answered.get() {
            self.set_stage(Stage::Idle);
            self.read_at.set(time::Instant::now());
        }
    }

    /// Lets the client finish sending before its connection is closed, so that it reads the answer.
    pub(super) fn expect_rest(&self) {
        self.is_sending.set(true);
    }

    /// Whether the connection is kept until the client has closed its side: the client still sends, or
    /// may not have received what was sent last.
    pub(super) fn needs_linger(&self) -> bool {
        let is_recent = |at: time::Instant| at.elapsed() < MAX_LINGER;
        self.is_sending.get() || self.blocked_at.get().is_some_and(is_recent)
    }

    /// For how long the connection is kept until the client has closed its side.
    pub(super) fn linger_time(&self) -> Duration {
        if self.is_evicted() { EVICTED_LINGER } else { MAX_LINGER }
    }

    pub(super) fn set_lingering(&self, is_lingering: bool) {
        self.is_lingering.set(is_lingering);
    }

    /// For how long the client has taken nothing of an answer that it is owed; `None` if it is owed none.
    pub(super) fn stalled(&self) -> Option<Duration> {
        let stalled = || self.blocked_since.get().map_or(Duration::ZERO, |since| since.elapsed());
        let is_owed = self.stage.get() == Stage::Answer || self.is_lingering.get();
        is_owed.then(stalled)
    }

    /// Records whether the last read brought something. The connection reads on until it waits for more,
    /// unless what it has read belongs to a later request.
    pub(super) fn set_unread(&self, has_unread: bool) {
        self.has_unread.set(has_unread);
    }

    /// Whether a later request was sent ahead of the answer to this one: its connection reads nothing
    /// meanwhile, and so doesn't notice its end.
    pub(super) fn sends_ahead(&self) -> bool {
        let is_answered_now = matches!(self.stage.get(), Stage::Running | Stage::Answer);
        is_answered_now && self.has_unread.get()
    }

    /// For how long the client has sent nothing.
    pub(super) fn silence(&self) -> Duration {
        self.read_at.get().elapsed()
    }

    /// What the connection does.
    pub(super) fn activity(&self) -> connection_limit::Activity {
        let lag = || self.progress.get().lag(time::Instant::now());
        match self.stage.get() {
            Stage::Idle => connection_limit::Activity::Idle(self.silence()),
            Stage::Head(_) | Stage::Body => connection_limit::Activity::Waiting(lag()),
            Stage::Running => connection_limit::Activity::Busy,
            Stage::Answer if lag().is_zero() => connection_limit::Activity::Busy,
            Stage::Answer => connection_limit::Activity::Waiting(lag()),
        }
    }

    /// When the connection is closed if the client does nothing, and why.
    pub(super) fn deadline(
        &self,
        limits: &configuration::Limits,
    ) -> Option<(time::Instant, &'static str)> {
        match self.stage.get() {
            Stage::Idle => {
                Some((self.read_at.get() + limits.idle_timeout * IDLE_THIRDS / 3, "idle"))
            }
            Stage::Head(since) => Some((since + limits.head_timeout * HEAD_MARGIN, "slow_head")),
            Stage::Body | Stage::Running => None,
            Stage::Answer => {
                self.blocked_since.get().map(|since| (since + MAX_UNREAD_TIME, "unread_answer"))
            }
        }
    }

    pub(super) fn is_evicted(&self) -> bool {
        self.evicted.borrow().is_some()
    }

    pub(super) fn evict(&self, eviction: Eviction) {
        self.evicted.send_replace(Some(eviction));
    }

    /// Whether nothing that was passed on would be lost with the connection.
    pub(super) fn may_close(&self) -> bool {
        self.activity().lag().is_some()
    }

    /// Withdraws an eviction.
    pub(super) fn keep(&self, state: &state::State) {
        self.evicted.send_replace(None);
        let budget = state.memory_budget.lock();
        budget.unwrap_or_else(sync::PoisonError::into_inner).keep(self.id);
    }

    /// Waits until its memory or its descriptor is needed.
    pub(super) async fn wait_for_eviction(&self) -> Eviction {
        let mut evicted = self.evicted.subscribe();
        // The sender is part of this client, so it isn't dropped while this waits.
        let evicted = evicted.wait_for(Option::is_some).await;
        evicted.ok().and_then(|eviction| *eviction).unwrap_or(Eviction::Connection)
    }
}

/// Counts and logs that a limit on a client was reached; `path` is that of its request, if it is known.
pub(super) fn record_limit(state: &state::State, reason: Option<&'static str>, path: &str) {
    let Some(reason) = reason else { return };
    state.metrics.client_limits.with_label_values(&[reason]).inc();
    if state.log_limiter.allow_failure(time::Instant::now()) {
        tracing::info!(reason, path, "limit on a client");
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        if let Some(state) = self.state.upgrade() {
            state.clients.remove(self.id);
        }
    }
}
