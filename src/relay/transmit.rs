//! The messages of an exchange: takes a connection, sends the request and reads the response.

use std::{
    ops::RangeInclusive,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONNECTION, HeaderName, HeaderValue, RETRY_AFTER},
    http::response,
};
use tokio::time::sleep_until;

use crate::{
    relay::{
        buffer::ResponseBuffer,
        choice::Observation,
        exchange::{Attempt, NotRunReason, Outcome, TargetResponse, UnknownReason},
        host::Host,
        pool::Connection,
        request::Query,
        settings::Headers,
        target::Target,
    },
    route,
    state::Change,
};

/// Longest pause that a target is granted, so that a faulty value does not take it out of service for good.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);

/// Statuses of a final response. Any other one says nothing that could be trusted, not even that the request did not run.
const VALID_STATUSES: RangeInclusive<u16> = 200..=599;

/// A connection is silent if no response header arrived for this many times the route's late threshold, and for at
/// least the minimum. The target is then avoided and its connections are not reused, but the exchange keeps waiting.
const SILENCE_FACTOR: u32 = 4;
const MIN_SILENCE: Duration = Duration::from_millis(400);

/// Header that tells how long the sender keeps an idle connection open.
pub(super) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Sends the request of an attempt and reads the response.
pub(super) async fn send(host: &Host, query: &Query, attempt: &Attempt) -> Outcome {
    let target = &attempt.target;
    if let Some(conn) = target.pool.take_idle().await
        && let Some(outcome) = send_on_connection(host, query, attempt, conn).await
    {
        return outcome;
    }
    let conn = match target.pool.connect().await {
        Ok(conn) => conn,
        Err(err) => {
            log::debug!("event=connect_failed target={} cause={err:?}", target.name);
            return Outcome::NotRun(NotRunReason::Unreachable);
        }
    };
    host.metrics.connections.with_label_values::<&str>(&[]).inc();
    let outcome = send_on_connection(host, query, attempt, conn).await;
    outcome.unwrap_or(Outcome::NotRun(NotRunReason::Unreachable))
}

/// Sends the request on a connection and reads the response. `None` if no byte of the request was sent.
async fn send_on_connection(
    host: &Host,
    query: &Query,
    attempt: &Attempt,
    mut conn: Connection,
) -> Option<Outcome> {
    let target = &attempt.target;
    if let Err(reason) = host.check_sender(query).await {
        return Some(Outcome::NotRun(reason));
    }
    let request = query.target_request(&host.cfg.headers, target);
    let silence = (query.route().latency.lock().late_threshold() * SILENCE_FACTOR).max(MIN_SILENCE);
    let silent_at = Instant::now() + target.pool.round_trip() + silence;
    // Connecting takes time, and so does a process that stands still.
    if !target.is_admitted(&host.freshness) {
        return Some(Outcome::NotRun(NotRunReason::Withdrawn));
    }
    attempt.record_sent();
    let mut response = std::pin::pin!(conn.sender.try_send_request(request));
    let head = tokio::select! {
        head = &mut response => head,
        () = sleep_until(silent_at.into()) => {
            log::info!(
                "event=connection_silent request={} target={} limit_ms={}",
                query.id(), target.name, silence.as_millis()
            );
            target.stats.lock().record(Observation::NoResponse, Instant::now());
            target.pool.invalidate();
            response.await
        }
    };
    let head = match head {
        Ok(head) => head,
        Err(mut err) => {
            let unsent = err.take_message().is_some();
            return (!unsent).then(|| Outcome::Unknown(unknown_reason(err.error())));
        }
    };
    Some(read_response(host, query, target, conn, head).await)
}

async fn read_response(
    host: &Host,
    query: &Query,
    target: &Target,
    conn: Connection,
    head: Response<Incoming>,
) -> Outcome {
    let names = &host.cfg.headers;
    let (head, body) = head.into_parts();
    let is_own = head.headers.get(&names.request_id) == query.request_id.as_ref();
    let has_id = head.headers.contains_key(&names.request_id);
    let is_foreign = !is_own && (has_id || conn.is_reused);
    if !is_foreign {
        // These hold even if the body does not arrive.
        record_wishes(host, target, &head);
    }
    let mut buffer = ResponseBuffer::new(&host.buffers, query.max_records());
    let body = match buffer.collect(body).await {
        Ok(body) => body,
        Err(err) => {
            log::info!(
                "event=response_incomplete request={} target={} cause={err:?}",
                query.id(),
                target.name
            );
            return Outcome::Unknown(UnknownReason::Disconnected);
        }
    };
    let keep_alive = keep_alive_timeout(&head.headers);
    if is_foreign {
        log::info!(
            "event=response_discarded request={} target={} status={} cause=\"{} on a {} connection\"",
            query.id(),
            target.name,
            head.status.as_u16(),
            if has_id { "id of another request" } else { "no request id" },
            if conn.is_reused { "reused" } else { "new" },
        );
        return Outcome::Unknown(UnknownReason::BadAnswer);
    }
    let outcome = classify(names, target, head, body);
    if has_id && query.body.is_empty() && is_reusable(query, &outcome) {
        target.pool.put_idle(conn, keep_alive);
    }
    outcome
}

/// Heeds what a target says of itself in a response: that it is leaving, or that it wants no requests for some time.
fn record_wishes(host: &Host, target: &Target, head: &response::Parts) {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        // The response is from another process.
        return;
    }
    if says_leaving(&host.cfg.headers, &head.headers) {
        retire(host, target);
    }
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(pause) = retry_after(&head.headers)
    {
        log::info!("event=target_paused target={} pause_ms={}", target.name, pause.as_millis());
        target.pause(Instant::now() + pause);
    }
}

fn says_leaving(names: &Headers, headers: &HeaderMap) -> bool {
    headers.get(&names.leaving).is_some_and(|it| it == "1")
}

/// Sends a target nothing more after it has said that it is leaving, and reports it.
pub(super) fn retire(host: &Host, target: &Target) {
    if !host.retired.insert(target) {
        return;
    }
    let Target { name, incarnation, .. } = target;
    log::info!("event=target_leaving target={name} incarnation={incarnation}");
    host.reports.push(Change::RetireTarget { name: name.clone(), incarnation: *incarnation });
    host.submit_now.notify_one();
}

/// The time in `Retry-After`, if it is given in seconds.
fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Some(Duration::try_from_secs_f64(seconds).ok()?.min(MAX_PAUSE))
}

/// Whether the connection of an exchange with this outcome may carry another request. The next request of an
/// at-most-once call has the id of the refused one, so a late copy of the refusal would claim that it did not run.
fn is_reusable(query: &Query, outcome: &Outcome) -> bool {
    match outcome {
        Outcome::Answered(it) => !it.headers.get(CONNECTION).is_some_and(has_close_token),
        Outcome::NotRun(_) => query.route().config.kind == route::Kind::Idempotent,
        Outcome::Unknown(_) => false,
    }
}

/// What a complete response to this request means.
fn classify(names: &Headers, target: &Target, head: response::Parts, body: Bytes) -> Outcome {
    if !VALID_STATUSES.contains(&head.status.as_u16()) {
        return Outcome::Unknown(UnknownReason::BadAnswer);
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(NotRunReason::WrongProcess);
    }
    if head.headers.contains_key(&names.not_run) {
        return Outcome::NotRun(NotRunReason::Shed);
    }
    if head.status.is_success() && !head.headers.contains_key(&names.signature) {
        return Outcome::Unknown(UnknownReason::BadAnswer);
    }
    let leaving = says_leaving(names, &head.headers).then(|| target.process());
    Outcome::Answered(TargetResponse { status: head.status, headers: head.headers, body, leaving })
}

fn unknown_reason(err: &hyper::Error) -> UnknownReason {
    if err.is_parse() { UnknownReason::BadAnswer } else { UnknownReason::Disconnected }
}

fn has_close_token(value: &HeaderValue) -> bool {
    value.to_str().is_ok_and(|it| it.split(',').any(|it| it.trim().eq_ignore_ascii_case("close")))
}

/// How long the target keeps an idle connection, if the response says so.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// A request as it is sent to a target.
pub(super) type TargetRequest = Request<Full<Bytes>>;
