//! All error kinds, with the HTTP status and the outcome that each one means for the caller.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// Whether a request was executed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// The request was executed and its result is known.
    Done,
    /// The request was not executed: it reached no target's handler. It is safe to send it again.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

/// The cause of a failed request or sub-request.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
    VariantArray,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// The operator token is missing or wrong.
    Unauthorized,
    /// No selector admits requests of this caller and kind to this group.
    NotAdmitted,
    /// The named object does not exist.
    NotFound,
    /// The request conflicts with newer state: the base revision of a change is no longer current, or a newer process
    /// uses the same name.
    Conflict,
    /// The body, or a message made from it, exceeds its size limit.
    TooLarge,
    /// The endpoint does not serve this request kind: `/v1/query` serves idempotent kinds, `/v1/dispatch` the others.
    WrongKind,
    /// The deadline passed before the request was sent to a target.
    DeadlinePassed,
    /// The idempotency key was issued too long ago.
    KeyExpired,
    /// The idempotency key was used before, with a different request.
    KeyReused,
    /// The request has crashed targets and is rejected until its quarantine ends.
    Quarantined,
    /// A queue or an admission limit is full, or the request would wait in a queue beyond its deadline.
    Overloaded,
    /// The freshness lease of this host has expired, so its configuration may be outdated.
    NoLease,
    /// This host is shutting down.
    Leaving,
    /// No usable target holds the data or belongs to the group.
    NoTarget,
    /// This host does not own the target.
    NotOwner,
    /// The target accepts no new requests because it is shutting down, or it or its zone is being drained.
    Draining,
    /// The target rejected the request because of overload, before it started.
    Shed,
    /// The target does not hold this index version.
    WrongVersion,
    /// No response arrived before the deadline.
    Timeout,
    /// The connection was lost after the request was sent.
    Disconnected,
    /// The response was truncated, malformed, or belongs to another request.
    BadAnswer,
    /// The request was cancelled.
    Cancelled,
    /// It is not known whether a non-idempotent request was executed.
    Unknown,
    /// The control hosts have no quorum or cannot be reached.
    NoQuorum,
    /// A bug in this program.
    Internal,
}

impl Kind {
    /// The HTTP status of a response with this error.
    pub fn status(self) -> u16 {
        self.status_and_outcome().0
    }

    /// The outcome of an idempotent request that failed with this error.
    pub fn outcome(self) -> Outcome {
        self.status_and_outcome().1
    }

    /// Whether an idempotent sub-request that failed with this error may be retried at another target.
    pub fn retryable(self) -> bool {
        matches!(
            self,
            Self::NotOwner
                | Self::Draining
                | Self::Shed
                | Self::WrongVersion
                | Self::Timeout
                | Self::Disconnected
                | Self::BadAnswer
                | Self::Overloaded
                | Self::NoLease
                | Self::Leaving
                | Self::NoTarget
        )
    }

    fn status_and_outcome(self) -> (u16, Outcome) {
        match self {
            Self::BadRequest => (400, Outcome::NotRun),
            Self::Unauthorized => (401, Outcome::NotRun),
            Self::NotAdmitted => (403, Outcome::NotRun),
            Self::NotFound => (404, Outcome::NotRun),
            Self::Conflict => (409, Outcome::NotRun),
            Self::TooLarge => (413, Outcome::NotRun),
            Self::WrongKind => (422, Outcome::NotRun),
            Self::DeadlinePassed => (408, Outcome::NotRun),
            Self::KeyExpired => (410, Outcome::NotRun),
            Self::KeyReused => (409, Outcome::NotRun),
            Self::Quarantined => (422, Outcome::NotRun),
            Self::Overloaded => (429, Outcome::NotRun),
            Self::NoLease => (503, Outcome::NotRun),
            Self::Leaving => (503, Outcome::NotRun),
            Self::NoTarget => (503, Outcome::NotRun),
            Self::NotOwner => (503, Outcome::NotRun),
            Self::Draining => (503, Outcome::NotRun),
            Self::Shed => (503, Outcome::NotRun),
            Self::WrongVersion => (503, Outcome::NotRun),
            Self::NoQuorum => (503, Outcome::NotRun),
            Self::Cancelled => (499, Outcome::Unknown),
            Self::Internal => (500, Outcome::Unknown),
            Self::Disconnected => (502, Outcome::Unknown),
            Self::BadAnswer => (502, Outcome::Unknown),
            Self::Unknown => (502, Outcome::Unknown),
            Self::Timeout => (504, Outcome::Unknown),
        }
    }
}

/// An error kind with a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {message}")]
pub struct Error {
    /// The error kind.
    pub kind: Kind,
    /// Details for people; may be empty.
    pub message: String,
}

impl Error {
    /// Makes an error of this kind.
    pub fn new(kind: Kind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into() }
    }
}

impl From<Kind> for Error {
    fn from(kind: Kind) -> Self {
        Self::new(kind, "")
    }
}

/// The result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
