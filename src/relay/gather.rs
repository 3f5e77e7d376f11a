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
        group::{self, Event},
        host::Host,
        reply::{self, Refusal},
        request::Query,
    },
    route::Shards,
    wire::relay::{FailedShard, Progress},
};

/// The length of a record, in bytes.
pub(super) const RECORD_BYTES: usize = 16;

/// Shards that have ended.
#[derive(Default)]
pub(super) struct Parts {
    pub(super) answers: Vec<Answer>,
    pub(super) failed: Vec<FailedShard>,
    delegated: Vec<Progress>,
}

/// Asks one target of each shard, or lets another relay do so. Ends when all have answered; from the moment at which
/// waiting longer would cost more than the shards that are still out, as soon as enough have.
pub(super) async fn run(
    host: &Arc<Host>,
    query: &Arc<Query>,
    shards: &Shards,
) -> Response<Full<Bytes>> {
    let total = shards.services.len();
    let enough = shards.min_shards();
    let attempts = query.max_attempts();
    let (direct, groups) = group::divide(host, query, shards);
    let mut calls: FuturesUnordered<_> =
        direct.into_iter().map(|key| call::call(host, query, key, attempts)).collect();
    let mut groups: FuturesUnordered<_> = groups.into_iter().map(|it| it.next(host)).collect();
    let mut parts = Parts::default();
    let stop = sleep_until(query.stop_at.into());
    let give_up = sleep_until(query.give_up.into());
    tokio::pin!(stop, give_up);
    let mut stopping = false;
    let end = loop {
        tokio::select! {
            biased;
            Some(answer) = calls.next() => parts.take(answer),
            Some((group, event)) = groups.next() => match event {
                Event::Progress(progress) => {
                    parts.delegated.push(progress);
                    if group.left > 0 {
                        groups.push(group.next(host));
                    }
                }
                // The delegate may have sent each shard to one target.
                Event::Rejected { ran } if !ran || attempts > 1 => {
                    let attempts = if ran { attempts - 1 } else { attempts };
                    let keys = group.shards.iter().map(|it| query.path().to[usize::from(*it)]);
                    calls.extend(keys.map(|key| call::call(host, query, key, attempts)));
                }
                Event::Rejected { .. } | Event::Lost => parts.lose(group.left, "delegate_lost"),
            },
            () = &mut stop, if !stopping => stopping = true,
            () = &mut give_up => break "timeout",
        }
        if parts.ended() == total {
            break "all_ended";
        }
        if parts.covered() >= enough && stopping {
            break "objective";
        }
        if total - parts.ended() + parts.covered() < enough {
            break "too_few";
        }
    };
    query.leash.release();
    if parts.covered() < enough {
        // A shard that answered or may still answer has run its part.
        let ran = parts.covered() > 0 || parts.ended() < total || parts.may_have_run();
        let refusal = Refusal::new(end == "timeout", ran, parts.cause());
        host.metrics.answer(query, "refused");
        return reply::refuse(host, query, &refusal);
    }
    let missing = total - parts.covered();
    if missing > 0 || query.is_late(Instant::now()) {
        log::info!(
            "event=answered request={} route={} covered={} of={total} end={end} cause={:?} took_ms={} version={}",
            query.id(),
            query.path().route.name,
            parts.covered(),
            parts.cause(),
            query.arrived.elapsed().as_millis(),
            query.view.routes.version
        );
    }
    host.metrics.answer(query, if missing > 0 { "partial" } else { "full" });
    respond(host, query, shards.top, &parts, missing)
}

impl Parts {
    /// Takes the end of a shard that this relay asked.
    pub(super) fn take(&mut self, answer: Result<Answer, Failure>) {
        match answer {
            Ok(answer) if answer.status.is_success() => self.answers.push(answer),
            Ok(_) => self.fail(true, "target_refused"),
            Err(failure) => self.fail(failure.ran, failure.cause),
        }
    }

    /// Notes shards that will not answer any more, and may have run.
    pub(super) fn lose(&mut self, count: usize, cause: &str) {
        (0..count).for_each(|_| self.fail(true, cause));
    }

    fn fail(&mut self, may_have_run: bool, cause: &str) {
        self.failed.push(FailedShard { may_have_run, cause: cause.to_owned() });
    }

    /// How many shards have ended.
    pub(super) fn ended(&self) -> usize {
        let delegated: usize = self.delegated.iter().map(Progress::ended).sum();
        self.answers.len() + self.failed.len() + delegated
    }

    /// Whether a shard that this relay asked has failed.
    pub(super) fn has_failed(&self) -> bool {
        !self.failed.is_empty()
    }

    fn covered(&self) -> usize {
        let delegated: usize = self.delegated.iter().map(|it| it.signatures.len()).sum();
        self.answers.len() + delegated
    }

    fn failures(&self) -> impl Iterator<Item = &FailedShard> {
        self.failed.iter().chain(self.delegated.iter().flat_map(|it| &it.failed))
    }

    fn may_have_run(&self) -> bool {
        self.failures().any(|it| it.may_have_run)
    }

    /// Why the last shard failed.
    fn cause(&self) -> &str {
        self.failures().last().map_or("", |it| &it.cause)
    }
}

fn respond(
    host: &Host,
    query: &Query,
    top: usize,
    parts: &Parts,
    missing: usize,
) -> Response<Full<Bytes>> {
    let names = &host.cfg.headers;
    let bodies = parts.answers.iter().map(|it| &it.body[..]);
    let body = merge(bodies.chain(parts.delegated.iter().map(|it| &it.records[..])), top);
    let mut response = Response::new(Full::new(body));
    let headers = response.headers_mut();
    let direct = parts.answers.iter().filter_map(|it| it.headers.get(&names.signature));
    let delegated = parts.delegated.iter().flat_map(|it| &it.signatures);
    let signatures: Vec<&[u8]> =
        direct.map(HeaderValue::as_bytes).chain(delegated.map(Vec::as_slice)).collect();
    if let Ok(joined) = HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
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
