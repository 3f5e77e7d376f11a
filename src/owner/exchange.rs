//! Encodes the request of a job and interprets the response of the target.

use std::{sync::Arc, time::Duration};

use hyper::{StatusCode, header::HeaderValue};
use serde::{Deserialize, Serialize};
use tracing::Span;

use crate::{
    error::Kind,
    owner::{
        batch::{Job, Payload},
        conn,
        http::{ExchangeError, Response, TargetRequest},
        target::Target,
    },
    policy::limit::LimitChange,
    trace,
    wire::{
        caller::Row,
        owner::Batch,
        target::{Refusal, Run, RunAnswer, SubAnswer},
    },
};

/// The status of the response to a cancelled request.
const STATUS_CANCELLED: u16 = 499;

/// The status of the response to a request whose deadline passed while it ran.
const STATUS_TIMEOUT: u16 = 504;

/// Like `wire::target::Sub`, but borrows from the batch instead of copying it.
#[derive(Serialize)]
struct Sub<'a> {
    id: u64,
    index: &'a str,
    version: u64,
    shard: u32,
    kind: &'a str,
    text: &'a str,
    deadline_ms: u64,
}

/// The tracing span of the exchange, if its request is traced.
pub(super) fn span(job: &Job, target: &Target) -> Option<Span> {
    let parent = match &job.payload {
        Payload::Sub { batch, .. } => batch.batch.traceparent.as_deref()?,
        Payload::Dispatch(call) => call.dispatch.traceparent.as_deref()?,
    };
    let span = tracing::info_span!("exchange", target = %target.name);
    trace::set_remote_parent(&span, Some(parent));
    Some(span)
}

/// Builds the HTTP request of a job. `left` is the time that the target may spend on it.
pub(super) fn build_request(
    job: &Job,
    id: u64,
    left: Duration,
    span: Option<&Span>,
) -> TargetRequest {
    let deadline_ms = left.as_millis() as u64;
    let (path, body) = match &job.payload {
        Payload::Sub { batch, item } => ("/v1/sub", sub_body(&batch.batch, *item, id, deadline_ms)),
        Payload::Dispatch(call) => {
            let dispatch = &call.dispatch;
            let body = Run {
                id,
                key: dispatch.key.clone(),
                kind: dispatch.kind.clone(),
                body: dispatch.body.clone(),
                deadline_ms,
            };
            ("/v1/run", serde_json::to_vec(&body))
        }
    };
    let mut request =
        TargetRequest::post(path, body.expect("strings and numbers serialize to JSON"));
    request.traceparent =
        span.and_then(trace::traceparent).and_then(|it| HeaderValue::try_from(it).ok());
    request
}

fn sub_body(batch: &Batch, item: usize, id: u64, deadline_ms: u64) -> serde_json::Result<Vec<u8>> {
    serde_json::to_vec(&Sub {
        id,
        index: &batch.index,
        version: batch.version,
        shard: batch.items[item].shard,
        kind: &batch.kind,
        text: &batch.text,
        deadline_ms,
    })
}

/// Whether the target has stopped the request or never received it.
pub(super) fn not_running(result: &Result<Response, ExchangeError>) -> bool {
    match result {
        Ok(response) => refusal_kind(response) == Kind::Cancelled,
        Err(err) => *err == ExchangeError::Stalled,
    }
}

/// Passes the outcome of the exchange to the concurrency limit of the target.
pub(super) fn update_limit(
    target: &Target,
    job: &Job,
    result: &Result<Response, ExchangeError>,
    elapsed: Duration,
) {
    let now = std::time::Instant::now();
    target.adjust_limit(|state| -> Option<LimitChange> {
        match result {
            Ok((StatusCode::OK, _)) => {
                state.limit.record_success(now, job.class, elapsed, state.in_flight)
            }
            Ok(response) if refusal_kind(response) == Kind::Shed => state.limit.record_shed(now),
            Err(ExchangeError::Timeout) => state.limit.record_timeout(now, job.class, elapsed),
            _ => None,
        }
    });
}

/// Ends the job with the outcome of the exchange and counts it in the metrics.
pub(super) fn record_result(
    target: &Arc<Target>,
    job: &Job,
    id: u64,
    result: &Result<Response, ExchangeError>,
    elapsed: Duration,
) {
    let metrics = &target.shared.metrics;
    let count = |kind: Option<Kind>| match kind {
        None => metrics.record_success(job.class, elapsed),
        Some(kind) => metrics.record_failure(kind),
    };
    match &job.payload {
        Payload::Sub { batch, item } => {
            let result = parse_rows(&batch.batch, batch.batch.items[*item].shard, id, result);
            count(result.as_ref().err().copied());
            job.finish_sub_request(target, result);
        }
        Payload::Dispatch(_) => {
            let result = parse_run_result(id, result);
            count(result.as_ref().err().copied());
            job.finish_dispatch(result);
        }
    }
}

/// Returns the rows of a complete response that belongs to this sub-request. A response for another id, index, version
/// or shard, or with another number of rows than it announces, is a `BadAnswer`.
fn parse_rows(
    batch: &Batch,
    shard: u32,
    id: u64,
    result: &Result<Response, ExchangeError>,
) -> Result<Vec<Row>, Kind> {
    let answer: SubAnswer = parse_body(result)?;
    let matches = answer.id == id
        && answer.index == batch.index
        && answer.version == batch.version
        && answer.shard == shard
        && answer.count == answer.rows.len();
    if matches { Ok(answer.rows) } else { Err(Kind::BadAnswer) }
}

fn parse_run_result(id: u64, result: &Result<Response, ExchangeError>) -> Result<String, Kind> {
    let answer: RunAnswer = parse_body(result)?;
    if answer.id == id { Ok(answer.result) } else { Err(Kind::BadAnswer) }
}

fn parse_body<'a, T: Deserialize<'a>>(
    result: &'a Result<Response, ExchangeError>,
) -> Result<T, Kind> {
    let response = result.as_ref().map_err(|it| conn::error_kind(*it))?;
    if response.0 != StatusCode::OK {
        return Err(refusal_kind(response));
    }
    serde_json::from_slice(&response.1).map_err(|_| Kind::BadAnswer)
}

/// Maps a response without a result to its error kind. Only refusals with status 503 mean that the request did not run,
/// because a target sends them before its handler starts; anything unexpected is a `BadAnswer`, which leaves that open.
fn refusal_kind((status, body): &Response) -> Kind {
    let Ok(refusal) = serde_json::from_slice::<Refusal>(body) else { return Kind::BadAnswer };
    match (status.as_u16(), refusal.error) {
        (503, kind @ (Kind::Shed | Kind::Draining | Kind::WrongVersion | Kind::DeadlinePassed)) => {
            kind
        }
        (STATUS_CANCELLED, Kind::Cancelled) => Kind::Cancelled,
        (STATUS_TIMEOUT, Kind::Timeout) => Kind::Timeout,
        _ => Kind::BadAnswer,
    }
}
