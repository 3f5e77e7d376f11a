//! HTTP responses for results and errors.

use axum::{
    Json,
    http::{HeaderMap, StatusCode},
    response::{IntoResponse, Response},
};
use rand::random;
use serde::Serialize;

use crate::{
    error::{Error, Kind, Outcome, Result},
    wire::caller::Failure,
};

/// The status for an error kind whose code is outside 100 to 999, which [`StatusCode`] rejects.
const FALLBACK_STATUS: StatusCode = StatusCode::INTERNAL_SERVER_ERROR;

/// Identifies a request in logs, events and traces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestId(pub u128);

impl RequestId {
    /// A new random id.
    pub fn random() -> Self {
        Self(random())
    }
}

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A failed request: the error and whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// What went wrong.
    pub error: Error,
    /// Whether the request ran.
    pub outcome: Outcome,
}

impl From<Error> for Rejection {
    fn from(error: Error) -> Self {
        Self { outcome: error.kind.outcome(), error }
    }
}

impl From<Kind> for Rejection {
    fn from(kind: Kind) -> Self {
        Error::from(kind).into()
    }
}

impl Rejection {
    /// The HTTP response, with the id of the request if it got one.
    pub fn response(&self, id: Option<RequestId>) -> Response {
        let status = StatusCode::from_u16(self.error.kind.status()).unwrap_or(FALLBACK_STATUS);
        let body = Failure {
            request_id: id.map(|it| it.to_string()),
            error: self.error.kind,
            outcome: self.outcome,
            message: self.error.message.clone(),
        };
        (status, Json(body)).into_response()
    }
}

/// The HTTP response to a request that has no id.
pub fn respond<T: Serialize>(result: Result<T>) -> Response {
    match result {
        Ok(body) => Json(body).into_response(),
        Err(err) => Rejection::from(err).response(None),
    }
}

/// The value of a header, if present. Fails if it is not ASCII.
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(Error::new(Kind::BadRequest, format!("header {name} is not ASCII text"))),
    }
}
