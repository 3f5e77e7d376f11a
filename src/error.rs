//! The closed list of error kinds and the table from kind to answer.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr, VariantArray};

/// Whether a request ran.
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
    /// The request ran and the answer is its result.
    Done,
    /// No byte of the request reached a target's handler.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Every way in which a request can fail.
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
    /// The operator's token is missing or wrong.
    Unauthorized,
    /// No selector admits this caller and request kind to this group.
    NotAdmitted,
    /// The named object does not exist.
    NotFound,
    /// The change builds on a revision that is no longer current.
    Conflict,
    /// The body is larger than the limit.
    TooLarge,
    /// The request kind does not fit this endpoint.
    WrongKind,
    /// The deadline had passed before anything was sent.
    DeadlinePassed,
    /// The idempotency key was issued too long ago.
    KeyExpired,
    /// The same idempotency key was used with another request.
    KeyReused,
    /// The request has crashed targets and is blocked for a while.
    Quarantined,
    /// Queues or admission limits are full.
    Overloaded,
    /// This host cannot confirm its configuration at present.
    NoLease,
    /// This host is shutting down.
    Leaving,
    /// No usable target holds the data.
    NoTarget,
    /// This host does not own the target.
    NotOwner,
    /// The target takes no new work: it drains or its zone drains.
    Draining,
    /// The target refused the work before it ran.
    Shed,
    /// The target does not have this index version.
    WrongVersion,
    /// No answer arrived within the deadline.
    Timeout,
    /// The connection broke after the request was sent.
    Disconnected,
    /// The answer was truncated, malformed or for another request.
    BadAnswer,
    /// The work was cancelled.
    Cancelled,
    /// A non-idempotent request may have run.
    Unknown,
    /// The control hosts have no quorum or cannot be reached.
    NoQuorum,
    /// A defect in this program.
    Internal,
}

impl Kind {
    /// The HTTP status of an answer with this kind.
    pub fn status(self) -> u16 {
        self.answer().0
    }

    /// The outcome of an idempotent request that ended with this kind.
    pub fn outcome(self) -> Outcome {
        self.answer().1
    }

    /// Whether another target may be tried for an idempotent sub-request.
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

    fn answer(self) -> (u16, Outcome) {
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

/// An error kind with a message for the reader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{kind}: {message}")]
pub struct Error {
    /// What went wrong.
    pub kind: Kind,
    /// Details for the reader.
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
