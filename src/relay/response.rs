//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{
        CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};

use crate::relay::{
    exchange::{KEEP_ALIVE, TargetResponse},
    host::Host,
    request::Query,
};

/// Headers that concern one connection alone.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    CONTENT_LENGTH,
];

/// When a caller should come back after a refusal, as a part of the objective.
const RETRY_AFTER_DIVISOR: u32 = 8;

/// When a caller should come back if no route tells the objective.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(100);

/// Why a request has no answer of a target.
pub(super) struct Refusal<'a> {
    status: StatusCode,
    cause: &'a str,
}

impl<'a> Refusal<'a> {
    /// A refusal of a request; `ran` says whether a target may have run it.
    pub(super) fn new(timed_out: bool, may_have_run: bool, cause: &'a str) -> Self {
        let status = match (timed_out, may_have_run) {
            (_, false) => StatusCode::SERVICE_UNAVAILABLE,
            (true, true) => StatusCode::GATEWAY_TIMEOUT,
            (false, true) => StatusCode::BAD_GATEWAY,
        };
        Self { status, cause }
    }
}

/// Tells the caller why there is no answer, and when to come back if nothing ran.
pub(super) fn refuse(host: &Host, query: &Query, refusal: &Refusal<'_>) -> Response<Full<Bytes>> {
    log::info!(
        "event=refused request={} route={} status={} cause={} took_ms={} version={} revision={}",
        query.id(),
        query.route().config.name,
        refusal.status.as_u16(),
        refusal.cause,
        query.arrived.elapsed().as_millis(),
        query.view.table.version,
        query.view.revision,
    );
    let wait = query.objective() / RETRY_AFTER_DIVISOR;
    let mut response = text(refusal.status, refusal.cause, wait);
    set_request_id(host, query, response.headers_mut());
    response
}

/// An answer of this system itself.
pub(super) fn text(status: StatusCode, cause: &str, wait: Duration) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(cause.as_bytes())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, seconds);
        }
    }
    response
}

/// Says that no route can be used yet.
pub(super) fn not_ready(cause: &str) -> Response<Full<Bytes>> {
    text(StatusCode::SERVICE_UNAVAILABLE, cause, RETRY_AFTER_DEFAULT)
}

/// Passes a target's answer on.
pub(super) fn forward(
    host: &Host,
    query: &Query,
    target_response: TargetResponse,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(target_response.body));
    *response.status_mut() = target_response.status;
    *response.headers_mut() = target_response.headers;
    strip_hop_by_hop(response.headers_mut());
    set_request_id(host, query, response.headers_mut());
    response
}

/// Names the request in its answer.
pub(super) fn set_request_id(host: &Host, query: &Query, headers: &mut HeaderMap) {
    if let Some(id) = &query.request_id {
        headers.insert(host.cfg.headers.request_id.clone(), id.clone());
    }
}

/// Removes headers that concern one connection alone.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<_> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse::<HeaderName>().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}
