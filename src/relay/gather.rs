//! A query over several shards: one target of each, merged into one answer.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use http_body_util::Full;
use hyper::{Response, header::HeaderValue};
use tokio::time::sleep_until;

use crate::{
    relay::{
        call::{self, Failure},
        exchange::Answer,
        host::Host,
        reply::{self, Refusal},
        request::Query,
    },
    route::Shards,
};

/// The length of a record, in bytes.
const RECORD_BYTES: usize = 16;

/// What the shards have answered so far.
struct Parts {
    answers: Vec<Answer>,
    failed: usize,
    ran: bool,
    cause: &'static str,
}

/// Asks one target of each shard. Ends when all have answered; from the moment at which waiting longer would cost more
/// than the shards that are still out, as soon as enough have.
pub(super) async fn run(
    host: &Arc<Host>,
    query: &Arc<Query>,
    shards: &Shards,
) -> Response<Full<Bytes>> {
    let total = shards.services.len();
    let enough = shards.enough();
    let calls = query.path().to.iter().map(|key| call::call(host, query, *key));
    let mut calls: FuturesUnordered<_> = calls.collect();
    let mut parts = Parts { answers: Vec::new(), failed: 0, ran: false, cause: "" };
    let stop = sleep_until(query.stop_at.into());
    let give_up = sleep_until(query.give_up.into());
    tokio::pin!(stop, give_up);
    let mut stopping = false;
    let end = loop {
        tokio::select! {
            biased;
            Some(answer) = calls.next() => parts.take(answer),
            () = &mut stop, if !stopping => stopping = true,
            () = &mut give_up => break "timeout",
        }
        if parts.answers.len() + parts.failed == total {
            break "all_ended";
        }
        if parts.answers.len() >= enough && stopping {
            break "objective";
        }
        if total - parts.failed < enough {
            break "too_few";
        }
    };
    query.leash.release();
    if parts.answers.len() < enough {
        // A shard that answered or may still answer has run its part.
        parts.ran |= !parts.answers.is_empty() || parts.failed < total;
        let refusal = Refusal::new(end == "timeout", parts.ran, parts.cause);
        host.metrics.answer(query, "refused");
        return reply::refuse(host, query, &refusal);
    }
    let missing = total - parts.answers.len();
    if missing > 0 || query.is_late(Instant::now()) {
        log::info!(
            "event=answered request={} route={} covered={} of={total} end={end} cause={:?} took_ms={} version={}",
            query.id(),
            query.path().route.name,
            parts.answers.len(),
            parts.cause,
            query.arrived.elapsed().as_millis(),
            query.view.version
        );
    }
    host.metrics.answer(query, if missing > 0 { "partial" } else { "full" });
    respond(host, query, shards.top, &parts.answers, missing)
}

impl Parts {
    fn take(&mut self, answer: Result<Answer, Failure>) {
        match answer {
            Ok(answer) if answer.status.is_success() => self.answers.push(answer),
            Ok(_) => self.fail(true, "target_refused"),
            Err(failure) => self.fail(failure.ran, failure.cause),
        }
    }

    fn fail(&mut self, ran: bool, cause: &'static str) {
        self.failed += 1;
        self.ran |= ran;
        self.cause = cause;
    }
}

fn respond(
    host: &Host,
    query: &Query,
    top: usize,
    answers: &[Answer],
    missing: usize,
) -> Response<Full<Bytes>> {
    let names = &host.cfg.headers;
    let body = merge(answers.iter().map(|it| &it.body[..]), top);
    let mut response = Response::new(Full::new(body));
    let headers = response.headers_mut();
    let signatures: Vec<_> =
        answers.iter().filter_map(|it| it.headers.get(&names.signature)).collect();
    let joined = signatures.iter().map(|it| it.as_bytes()).collect::<Vec<_>>().join(&b", "[..]);
    if let Ok(joined) = HeaderValue::from_bytes(&joined) {
        headers.insert(names.signatures.clone(), joined);
    }
    headers.insert(names.missing.clone(), HeaderValue::from(missing));
    reply::identify(host, query, headers);
    response
}

/// The greatest `top` records of all parts, greatest first. A remainder that is shorter than a record is none.
pub fn merge<'a>(parts: impl Iterator<Item = &'a [u8]>, top: usize) -> Bytes {
    let mut records: Vec<&[u8]> = parts.flat_map(|it| it.chunks_exact(RECORD_BYTES)).collect();
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    records.concat().into()
}
