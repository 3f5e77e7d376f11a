//! Responses to callers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{
        CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use rand::RngExt;

use crate::relay::{
    exchange::{NotRunReason, TargetResponse},
    host::Host,
    request::Query,
    sender::Denial,
    transmit::KEEP_ALIVE,
    view::View,
};

/// Hop-by-hop headers, which must not be forwarded, and `Content-Length`, which is set anew for each message.
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

/// After a refusal a caller is told to retry after the objective divided by this.
const RETRY_AFTER_DIVISOR: u32 = 8;

/// `Retry-After` is increased by a random share of up to this much.
const RETRY_AFTER_SPREAD: f64 = 0.5;

/// `Retry-After` while there is no routing table, or none that knows the route, so that no objective is known.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(100);

/// Why a request gets no response from a target.
pub(super) struct Refusal<'a> {
    status: StatusCode,
    cause: &'a str,
    /// When room is expected, if it is known.
    retry_after: Duration,
}

impl<'a> Refusal<'a> {
    /// Derives the status of the response. Status 503 tells the caller that no target ran the request, so
    /// `may_have_run` must be set unless that is certain.
    pub(super) fn new(timed_out: bool, may_have_run: bool, cause: &'a str) -> Self {
        let status = match (timed_out, may_have_run) {
            (_, false) => StatusCode::SERVICE_UNAVAILABLE,
            (true, true) => StatusCode::GATEWAY_TIMEOUT,
            (false, true) => StatusCode::BAD_GATEWAY,
        };
        Self { status, cause, retry_after: Duration::ZERO }
    }

    /// Tells the caller not to come back sooner than this.
    pub(super) fn retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after, ..self }
    }
}

/// Builds the response for a request that failed, with `Retry-After` if nothing ran. If nothing ran because the key has been
/// withdrawn, the request ends like one with an unknown key.
pub(super) fn refuse(host: &Host, query: &Query, refusal: &Refusal<'_>) -> Response<Full<Bytes>> {
    let Refusal { mut status, cause, retry_after } = *refusal;
    let is_withdrawn = cause == <&str>::from(NotRunReason::KeyWithdrawn);
    if is_withdrawn && status == StatusCode::SERVICE_UNAVAILABLE && host.is_config_confirmed() {
        status = StatusCode::UNAUTHORIZED;
    }
    log::info!(
        "event=refused request={} route={} status={} cause={} took_ms={} version={} revision={} \
         config_age_ms={}",
        query.id(),
        query.route().config.name,
        status.as_u16(),
        cause,
        query.arrived.elapsed().as_millis(),
        query.view.table.version,
        query.view.revision,
        host.config_age_ms(),
    );
    // A caller that comes back before a service has a target again would be refused once more.
    let paused = query.paused_for(Instant::now());
    let wait = retry_after.max(query.objective() / RETRY_AFTER_DIVISOR);
    // Callers that were refused together do not return together.
    let wait = paused.max(wait.mul_f64(1.0 + rand::rng().random_range(0.0..RETRY_AFTER_SPREAD)));
    let mut response = text(status, cause, wait);
    set_request_id(host, query, response.headers_mut());
    response
}

/// Builds a response of the relay itself, with the cause as its body. `wait` is sent as `Retry-After` with status
/// 429 and 503.
pub(super) fn text(status: StatusCode, cause: &str, wait: Duration) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::copy_from_slice(cause.as_bytes())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(seconds) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, seconds);
        }
    }
    response
}

/// Builds the response for a request that arrived before there was a routing table.
pub(super) fn not_ready(cause: &str) -> Response<Full<Bytes>> {
    text(StatusCode::SERVICE_UNAVAILABLE, cause, RETRY_AFTER_DEFAULT)
}

/// Builds the response for a request that the routing table does not admit. If control hosts have not confirmed the
/// table in time, a newer one may admit it, so the caller is told to try again: callers do not repeat a request after 401
/// or 404.
pub(super) fn deny(
    host: &Host,
    view: &View,
    request_id: Option<&HeaderValue>,
    denial: Denial,
) -> Response<Full<Bytes>> {
    let Denial { mut status, mut cause } = denial;
    if status != StatusCode::SERVICE_UNAVAILABLE && !host.is_config_confirmed() {
        (status, cause) = (StatusCode::SERVICE_UNAVAILABLE, "config_unconfirmed");
    }
    log::info!(
        "event=refused request={} status={} cause={cause} version={} revision={} config_age_ms={}",
        request_id.and_then(|it| it.to_str().ok()).unwrap_or("-"),
        status.as_u16(),
        view.table.version,
        view.revision,
        host.config_age_ms(),
    );
    text(status, cause, RETRY_AFTER_DEFAULT)
}

/// Forwards the response of a target.
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

/// Copies the id of the request into the headers of its response.
pub(super) fn set_request_id(host: &Host, query: &Query, headers: &mut HeaderMap) {
    if let Some(id) = &query.request_id {
        headers.insert(host.cfg.headers.request_id.clone(), id.clone());
    }
}

/// Removes the hop-by-hop headers, including those that `Connection` lists.
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
