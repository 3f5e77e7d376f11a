//! What one exchange sends to a target, and what its answer means.

use std::{sync::Arc, time::Duration};

use hyper::{StatusCode, header::HeaderValue};
use serde::{Deserialize, Serialize};
use tracing::Span;

use crate::{
    error::Kind,
    owner::{
        batch::{Job, Payload},
        connection::{ExchangeError, Response, TargetRequest},
        target::Target,
        worker,
    },
    policy::limit::Step,
    trace,
    wire::{
        caller::Row,
        owner::Batch,
        target::{Refusal, Run, RunAnswer, SubAnswer},
    },
};

/// The status of an answer to work that was cancelled.
const STATUS_CANCELLED: u16 = 499;

/// The status of an answer to work whose deadline passed while it ran.
const STATUS_TIMEOUT: u16 = 504;

/// `wire::target::Sub` without copies of the batch.
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

/// The span of an exchange, if its request is traced.
pub(super) fn span(job: &Job, target: &Target) -> Option<Span> {
    let parent = match &job.payload {
        Payload::Sub { batch, .. } => batch.batch.traceparent.as_deref()?,
        Payload::Dispatch(call) => call.dispatch.traceparent.as_deref()?,
    };
    let span = tracing::info_span!("exchange", target = %target.name);
    trace::continue_from(&span, Some(parent));
    Some(span)
}

/// The request of a job.
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
    let mut request = TargetRequest::post(path, body.expect("a struct of strings and numbers"));
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

/// Whether the target has given up the request, or never had it.
pub(super) fn not_running(result: &Result<Response, ExchangeError>) -> bool {
    match result {
        Ok(response) => refusal_kind(response) == Kind::Cancelled,
        Err(err) => *err == ExchangeError::Stalled,
    }
}

/// Adjusts the limit of the target to how the exchange ended.
pub(super) fn update_limit(
    target: &Target,
    job: &Job,
    result: &Result<Response, ExchangeError>,
    elapsed: Duration,
) {
    let now = std::time::Instant::now();
    target.adjust_limit(|state| -> Option<Step> {
        match result {
            Ok((StatusCode::OK, _)) => {
                state.limit.succeed(now, job.class, elapsed, state.in_flight)
            }
            Ok(response) if refusal_kind(response) == Kind::Shed => state.limit.shed(now),
            Err(ExchangeError::Timeout) => state.limit.time_out(now, job.class, elapsed),
            _ => None,
        }
    });
}

/// Records how the exchange ended.
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

/// The rows of an answer that is complete and for this sub-request.
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
    let response = result.as_ref().map_err(|it| worker::error_kind(*it))?;
    if response.0 != StatusCode::OK {
        return Err(refusal_kind(response));
    }
    serde_json::from_slice(&response.1).map_err(|_| Kind::BadAnswer)
}

/// The kind of an answer that is no result. Only the refusals that a target gives before its handler runs count as
/// not run.
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
