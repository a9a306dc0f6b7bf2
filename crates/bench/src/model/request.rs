//! A request on its way through the model.

use std::time::Duration;

use smallvec::SmallVec;

/// How far a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// On its way or waiting.
    Open,
    /// The answer is whole and in time.
    Whole,
    /// Refused for good before anything ran.
    Refused,
    /// The answer broke off, or its deadline passed.
    Failed,
}

/// A request on its way through the model.
#[derive(Clone, Debug)]
pub struct Request {
    /// How far it is.
    pub state: State,
    /// Time from arrival to the first token.
    pub first: Option<Duration>,
    /// Time from arrival to the end.
    pub end: Option<Duration>,
    /// Tokens delivered to the caller.
    pub delivered: f64,
    /// Tokens read and generated for it, at all engines.
    pub spent: f64,
    /// Attempts made.
    pub attempts: u32,
    /// The agent that holds it.
    pub(super) agent: Option<usize>,
    /// Agents tried.
    pub(super) tried: SmallVec<[usize; 3]>,
    /// When its present agent took it.
    pub(super) accepted: Duration,
    /// Whether it holds a slot.
    pub(super) running: bool,
    /// Tokens generated in the present run when last observed.
    pub(super) observed: f64,
}

impl Request {
    pub(super) fn new() -> Self {
        Self {
            state: State::Open,
            first: None,
            end: None,
            delivered: 0.0,
            spent: 0.0,
            attempts: 0,
            agent: None,
            tried: SmallVec::new(),
            accepted: Duration::ZERO,
            running: false,
            observed: 0.0,
        }
    }
}
