//! What one exchange sends to a target, and what its answer means.

use std::{sync::Arc, time::Duration};

use hyper::{StatusCode, header::HeaderValue};
use serde::{Deserialize, Serialize};
use tracing::Span;

use crate::{
    error::Kind,
    owner::{
        batch::{Job, Work},
        conn,
        link::{Answer, Fault, Message},
        target::Target,
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
    let parent = match &job.work {
        Work::Sub { batch, .. } => batch.batch.traceparent.as_deref()?,
        Work::Run(run) => run.dispatch.traceparent.as_deref()?,
    };
    let span = tracing::info_span!("exchange", target = %target.name);
    trace::set_remote_parent(&span, Some(parent));
    Some(span)
}

/// The request of a job.
pub(super) fn message(job: &Job, id: u64, left: Duration, span: Option<&Span>) -> Message {
    let deadline_ms = left.as_millis() as u64;
    let (path, body) = match &job.work {
        Work::Sub { batch, item } => ("/v1/sub", sub(&batch.batch, *item, id, deadline_ms)),
        Work::Run(run) => {
            let run = &run.dispatch;
            let body = Run {
                id,
                key: run.key.clone(),
                kind: run.kind.clone(),
                body: run.body.clone(),
                deadline_ms,
            };
            ("/v1/run", serde_json::to_vec(&body))
        }
    };
    let mut message = Message::post(path, body.expect("a struct of strings and numbers"));
    message.traceparent =
        span.and_then(trace::traceparent).and_then(|it| HeaderValue::try_from(it).ok());
    message
}

fn sub(batch: &Batch, item: usize, id: u64, deadline_ms: u64) -> serde_json::Result<Vec<u8>> {
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
pub(super) fn cancelled(answer: &Result<Answer, Fault>) -> bool {
    match answer {
        Ok(answer) => refusal(answer) == Kind::Cancelled,
        Err(fault) => *fault == Fault::Silent,
    }
}

/// Adjusts the limit of the target to how the exchange ended.
pub(super) fn learn(target: &Target, job: &Job, answer: &Result<Answer, Fault>, elapsed: Duration) {
    let now = std::time::Instant::now();
    target.adjust(|state| -> Option<Step> {
        match answer {
            Ok((StatusCode::OK, _)) => {
                state.limit.succeed(now, job.class, elapsed, state.in_flight)
            }
            Ok(answer) if refusal(answer) == Kind::Shed => state.limit.shed(now),
            Err(Fault::Timeout) => state.limit.time_out(now, job.class, elapsed),
            _ => None,
        }
    });
}

/// Records how the exchange ended.
pub(super) fn finish(
    target: &Arc<Target>,
    job: &Job,
    id: u64,
    answer: &Result<Answer, Fault>,
    elapsed: Duration,
) {
    let meter = &target.shared.meter;
    let count = |kind: Option<Kind>| match kind {
        None => meter.succeed(job.class, elapsed),
        Some(kind) => meter.count(kind),
    };
    match &job.work {
        Work::Sub { batch, item } => {
            let result = rows(&batch.batch, batch.batch.items[*item].shard, id, answer);
            count(result.as_ref().err().copied());
            job.finish_sub(target, result);
        }
        Work::Run(_) => {
            let result = run_result(id, answer);
            count(result.as_ref().err().copied());
            job.finish_run(result);
        }
    }
}

/// The rows of an answer that is complete and for this sub-request.
fn rows(
    batch: &Batch,
    shard: u32,
    id: u64,
    answer: &Result<Answer, Fault>,
) -> Result<Vec<Row>, Kind> {
    let answer: SubAnswer = body(answer)?;
    let matches = answer.id == id
        && answer.index == batch.index
        && answer.version == batch.version
        && answer.shard == shard
        && answer.count == answer.rows.len();
    if matches { Ok(answer.rows) } else { Err(Kind::BadAnswer) }
}

fn run_result(id: u64, answer: &Result<Answer, Fault>) -> Result<String, Kind> {
    let answer: RunAnswer = body(answer)?;
    if answer.id == id { Ok(answer.result) } else { Err(Kind::BadAnswer) }
}

fn body<'a, T: Deserialize<'a>>(answer: &'a Result<Answer, Fault>) -> Result<T, Kind> {
    let answer = answer.as_ref().map_err(|it| conn::kind(*it))?;
    if answer.0 != StatusCode::OK {
        return Err(refusal(answer));
    }
    serde_json::from_slice(&answer.1).map_err(|_| Kind::BadAnswer)
}

/// The kind of an answer that is no result. Only the refusals that a target gives before its handler runs count as
/// not run.
fn refusal((status, body): &Answer) -> Kind {
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
