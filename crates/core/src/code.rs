//! Numbered result codes, documented for users in `docs/ERRORS.md`.

use serde::Deserialize;
use serde::Serialize;

/// A numbered result code.
///
/// The first digit of the number is the category: 1 invalid request, 2 admission, 3 outcome of a
/// run, 4 control plane, 5 settings and intents, 6 messages between processes, 9 internal error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[non_exhaustive]
pub enum Code {
    /// The request has no key.
    KeyMissing,
    /// The key is unknown.
    KeyUnknown,
    /// The key was revoked.
    KeyWithdrawn,
    /// No route matches the path and method.
    RouteUnknown,
    /// The body is larger than the route allows.
    BodyTooLarge,
    /// The body is not in the format that the route requires.
    BodyInvalid,
    /// The model does not exist.
    ModelUnknown,
    /// The route requires an `Idempotency-Key`.
    ClaimKeyRequired,
    /// The `Idempotency-Key` was already used with a different body.
    ClaimKeyReused,
    /// The entry cannot confirm that its configuration is recent enough.
    ConfigurationStale,
    /// The team exceeded its rate or concurrency limit.
    TeamLimit,
    /// The queue of the class is full.
    QueueFull,
    /// No replica can accept the request at the moment.
    NoReplica,
    /// The deadline cannot be met.
    DeadlineTooShort,
    /// The process or backend server is shutting down and accepts no new work.
    Leaving,
    /// The request was shed in favor of a higher tier.
    Shed,
    /// The backend server failed.
    BackendFailed,
    /// It is unknown whether the request ran.
    OutcomeUnknown,
    /// The response was truncated.
    AnswerCut,
    /// The deadline passed.
    DeadlinePassed,
    /// The key was revoked while the request was running.
    KeyWithdrawnRunning,
    /// A request with the same `Idempotency-Key` is still running.
    ClaimRunning,
    /// The caller closed the connection.
    CallerGone,
    /// The agent has no record of the request.
    RunUnknown,
    /// The table service or the object store does not respond.
    StoreUnavailable,
    /// Another change was accepted after the plan was created.
    PlanConflict,
    /// The plan is too old to be confirmed.
    PlanExpired,
    /// The plan does not exist.
    PlanUnknown,
    /// This process does not hold the lease.
    NotHolder,
    /// The fencing token is older than one already seen.
    FenceOld,
    /// The operator key is missing or unknown.
    OperatorDenied,
    /// The platform rejected the order.
    OrderRefused,
    /// A file cannot be read.
    FileUnreadable,
    /// The text is not valid JSON or does not match the schema.
    JsonInvalid,
    /// A value is out of range.
    ValueInvalid,
    /// Two parts of the documents contradict each other.
    PartsClash,
    /// A referenced name is not declared.
    NameUnknown,
    /// The message could not be decoded.
    MessageUnknown,
    /// The message is too large.
    MessageTooLarge,
    /// The peer uses another version of the protocol.
    ProtocolMismatch,
    /// The peer does not respond.
    PeerUnavailable,
    /// An internal error of azuregap.
    Internal,
}

impl Code {
    /// Every code, in ascending order of number.
    pub const ALL: &[Self] = &[
        Self::KeyMissing,
        Self::KeyUnknown,
        Self::KeyWithdrawn,
        Self::RouteUnknown,
        Self::BodyTooLarge,
        Self::BodyInvalid,
        Self::ModelUnknown,
        Self::ClaimKeyRequired,
        Self::ClaimKeyReused,
        Self::ConfigurationStale,
        Self::TeamLimit,
        Self::QueueFull,
        Self::NoReplica,
        Self::DeadlineTooShort,
        Self::Leaving,
        Self::Shed,
        Self::BackendFailed,
        Self::OutcomeUnknown,
        Self::AnswerCut,
        Self::DeadlinePassed,
        Self::KeyWithdrawnRunning,
        Self::ClaimRunning,
        Self::CallerGone,
        Self::RunUnknown,
        Self::StoreUnavailable,
        Self::PlanConflict,
        Self::PlanExpired,
        Self::PlanUnknown,
        Self::NotHolder,
        Self::FenceOld,
        Self::OperatorDenied,
        Self::OrderRefused,
        Self::FileUnreadable,
        Self::JsonInvalid,
        Self::ValueInvalid,
        Self::PartsClash,
        Self::NameUnknown,
        Self::MessageUnknown,
        Self::MessageTooLarge,
        Self::ProtocolMismatch,
        Self::PeerUnavailable,
        Self::Internal,
    ];

    /// Returns the number, the HTTP status and the advice.
    const fn details(self) -> (u16, u16, &'static str) {
        match self {
            Self::KeyMissing => (1001, 401, "send your key as 'Authorization: Bearer KEY'"),
            Self::KeyUnknown => (1002, 401, "check the key, or ask your operator for one"),
            Self::KeyWithdrawn => (1003, 401, "ask your operator for a new key"),
            Self::RouteUnknown => (1004, 404, "check the path and method against the routes"),
            Self::BodyTooLarge => (1005, 413, "send a smaller body"),
            Self::BodyInvalid => (1006, 400, "send the JSON that the route expects"),
            Self::ModelUnknown => (1007, 404, "use a model listed by /v1/models"),
            Self::ClaimKeyRequired => (1008, 400, "send an 'Idempotency-Key' header"),
            Self::ClaimKeyReused => (1009, 422, "use a new 'Idempotency-Key' for a new body"),
            Self::ConfigurationStale => (1010, 503, "try again later or at another entry"),
            Self::TeamLimit => (2001, 429, "come back after the time in Retry-After"),
            Self::QueueFull => (2002, 503, "come back after the time in Retry-After"),
            Self::NoReplica => (2003, 503, "come back after the time in Retry-After"),
            Self::DeadlineTooShort => (2004, 503, "allow more time or come back later"),
            Self::Leaving => (2005, 503, "send the request again; it goes elsewhere"),
            Self::Shed => (2006, 503, "come back after the time in Retry-After"),
            Self::BackendFailed => (3001, 502, "send the request again if it may be repeated"),
            Self::OutcomeUnknown => {
                (3002, 502, "look whether it took effect; do not repeat blindly")
            }
            Self::AnswerCut => (3003, 502, "discard the part received"),
            Self::DeadlinePassed => (3004, 504, "allow more time"),
            Self::KeyWithdrawnRunning => (3005, 401, "ask your operator for a new key"),
            Self::ClaimRunning => (3006, 409, "ask again later with the same Idempotency-Key"),
            Self::CallerGone => (3007, 499, "nothing to do"),
            Self::RunUnknown => (3008, 404, "treat the outcome as unknown"),
            Self::StoreUnavailable => (4001, 503, "come back when the store answers"),
            Self::PlanConflict => (4002, 409, "make a new plan from the present version"),
            Self::PlanExpired => (4003, 410, "make a new plan"),
            Self::PlanUnknown => (4004, 404, "list the plans"),
            Self::NotHolder => (4005, 503, "ask the holder named in the answer"),
            Self::FenceOld => (4006, 409, "stop; another process is in charge"),
            Self::OperatorDenied => (4007, 401, "send an operator key"),
            Self::OrderRefused => (4008, 502, "see the platform's reason"),
            Self::FileUnreadable => (5001, 400, "check the path and permissions"),
            Self::JsonInvalid => (5002, 400, "correct the field that is named"),
            Self::ValueInvalid => (5003, 400, "correct the value that is named"),
            Self::PartsClash => (5004, 400, "change one of the two parts that are named"),
            Self::NameUnknown => (5005, 400, "declare the name or correct it"),
            Self::MessageUnknown => (6001, 400, "upgrade the older process"),
            Self::MessageTooLarge => (6002, 413, "lower the size of the message"),
            Self::ProtocolMismatch => (6003, 426, "upgrade the older process"),
            Self::PeerUnavailable => (6004, 503, "check that the peer runs"),
            Self::Internal => (9001, 500, "report this with the request id"),
        }
    }

    /// Returns the unique number.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.details().0
    }

    /// Returns the HTTP status.
    #[must_use]
    pub const fn status(self) -> u16 {
        self.details().1
    }

    /// Returns what the receiver can do about the problem.
    #[must_use]
    pub const fn advice(self) -> &'static str {
        self.details().2
    }

    /// Looks up the code with this number.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|code| code.number() == number)
    }
}
