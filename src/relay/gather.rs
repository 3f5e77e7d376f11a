//! Runs a query over several shards: sends it to one target of each shard and merges the responses.

use std::{sync::Arc, time::Instant};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use http_body_util::Full;
use hyper::{Response, header::HeaderValue};
use tokio::time::{sleep_until, timeout_at};

use crate::{
    policy::admission::{self, Overload},
    relay::{
        call::Failure,
        exchange::{NotRunReason, TargetResponse},
        group::{self, DelegateEvent},
        host::Host,
        probe::{self, Permit},
        quarantine::{Held, Pass, QUARANTINED},
        records::merge_records,
        request::Query,
        response::{self, Refusal},
        transmit,
        view::ServiceKey,
        wait,
    },
    route::Shards,
    wire::relay::{FailedShard, Progress},
};

/// Results of the shards that have ended.
#[derive(Default)]
pub(super) struct ShardResults {
    pub(super) responses: Vec<TargetResponse>,
    pub(super) failed: Vec<FailedShard>,
    delegated: Vec<Progress>,
}

/// Queries one target of each shard, directly or through a delegate. Returns when all shards have ended. After the soft
/// deadline it returns as soon as the route's minimum coverage is reached, because from then on a late response costs
/// more than the missing shards. It gives up at the hard deadline, or once the minimum coverage is out of reach.
pub(super) async fn run(
    host: &Arc<Host>,
    query: &Arc<Query>,
    shards: &Shards,
    mut pass: Pass,
) -> Response<Full<Bytes>> {
    let total = shards.services.len();
    let required = shards.min_shards();
    if let Err(overload) = admit(query, &pass, total - required) {
        host.metrics.record_answer(query, "refused");
        let refusal = Refusal::new(false, false, "overloaded").retry_after(overload.retry_after);
        return response::refuse(host, query, &refusal);
    }
    let attempts = query.max_attempts();
    let mut results = ShardResults::default();
    let mut probe = None;
    match &mut pass {
        Pass::Open => {}
        Pass::Partial { held, probe: permit } => {
            probe = leave_out(query, held, permit.take(), &mut results);
        }
        Pass::Probe { held, permit } => {
            let probed = probe_in_turn(host, query, held, permit, &mut results).await;
            if let Err(refusal) = probed {
                query.detach.set();
                host.metrics.record_answer(query, "refused");
                return response::refuse(host, query, &refusal);
            }
        }
    }
    let (direct, groups) = group::partition(host, query, shards, &pass);
    let call = |key, permit| probe::send_or_call(host, query, key, attempts, permit);
    let mut calls: FuturesUnordered<_> = direct.into_iter().map(|key| call(key, None)).collect();
    calls.extend(probe.map(|(key, permit)| call(key, Some(permit))));
    let mut groups: FuturesUnordered<_> =
        groups.into_iter().map(|it| it.next_event(host)).collect();
    let soft_deadline = sleep_until(query.soft_deadline.into());
    let hard_deadline = sleep_until(query.hard_deadline.into());
    tokio::pin!(soft_deadline, hard_deadline);
    let mut soft_passed = false;
    let end_reason = loop {
        tokio::select! {
            biased;
            Some(result) = calls.next() => results.record_call(result),
            Some((group, event)) = groups.next() => match event {
                DelegateEvent::Progress(progress) => {
                    retire_leaving(host, query, &progress);
                    results.delegated.push(progress);
                    if group.pending > 0 {
                        groups.push(group.next_event(host));
                    }
                }
                // If the delegate may have run the shards, that counts as one attempt for each of them.
                DelegateEvent::Rejected { may_have_run } if !may_have_run || attempts > 1 => {
                    let attempts = if may_have_run { attempts - 1 } else { attempts };
                    let keys = group.shards.iter().map(|it| query.route().services[usize::from(*it)]);
                    calls.extend(keys.map(|key| {
                        probe::send_or_call(host, query, key, attempts, None)
                    }));
                }
                DelegateEvent::Rejected { .. } | DelegateEvent::Lost =>
                    results.record_lost(group.pending, "delegate_lost"),
            },
            () = &mut soft_deadline, if !soft_passed => soft_passed = true,
            () = &mut hard_deadline => break "timeout",
        }
        if results.ended() == total {
            break "all_ended";
        }
        if results.covered() >= required && soft_passed {
            break "objective";
        }
        let is_too_few = total - results.ended() + results.covered() < required;
        // That nothing has run is certain only when all shards have ended, which then takes a moment.
        if is_too_few && !results.is_withdrawn() {
            break "too_few";
        }
    };
    query.detach.set();
    if results.covered() < required {
        // Shards that have not ended may still run, and shards that responded have run.
        let may_have_run =
            results.covered() > 0 || results.ended() < total || results.may_have_run();
        let refusal = Refusal::new(end_reason == "timeout", may_have_run, results.cause());
        host.metrics.record_answer(query, "refused");
        return response::refuse(host, query, &refusal);
    }
    let missing = total - results.covered();
    if missing > 0 || query.is_past_objective(Instant::now()) {
        log::info!(
            "event=answered request={} route={} covered={} of={total} end={end_reason} cause={:?} took_ms={} version={}",
            query.id(),
            query.route().config.name,
            results.covered(),
            results.cause(),
            query.arrived.elapsed().as_millis(),
            query.view.table.version
        );
    }
    host.metrics.record_answer(query, if missing > 0 { "partial" } else { "full" });
    merged_response(host, query, shards.top, &results, missing)
}

/// Decides on the request as a whole. Shards that are delegated have no backlog here, and those that hold the request back
/// get a probe at most.
fn admit(query: &Query, pass: &Pass, spare: usize) -> Result<(), Overload> {
    let now = Instant::now();
    let open = query.route().services.iter().filter(|it| !pass.holds(**it));
    let predictions = open.map(|it| wait::prediction(query, query.view.service(*it), now));
    admission::admit(predictions, spare - pass.left_out())
}

/// Does without the shards that hold the request back, but for the first one if it gets a probe.
fn leave_out(
    query: &Query,
    held: &[Held],
    permit: Option<Permit>,
    results: &mut ShardResults,
) -> Option<(ServiceKey, Permit)> {
    held.iter().for_each(|_| _ = query.give_up_shard());
    let probed = usize::from(permit.is_some());
    held.iter().skip(probed).for_each(|_| results.record_failure(false, QUARANTINED));
    permit.map(|it| (held[0].key, it))
}

/// Sends a probe to the shards that hold the request back, one after another: if it still crashes targets, it crashes one.
async fn probe_in_turn(
    host: &Arc<Host>,
    query: &Arc<Query>,
    held: &[Held],
    permit: &mut Permit,
    results: &mut ShardResults,
) -> Result<(), Refusal<'static>> {
    for it in held {
        let sent = probe::send(host, query, it.key, permit);
        let Ok(result) = timeout_at(query.hard_deadline.into(), sent).await else {
            return Err(Refusal::new(true, true, "timeout"));
        };
        results.record_call(result);
        if results.has_failed() {
            let may_have_run = results.covered() > 0 || results.may_have_run();
            return Err(Refusal::new(false, may_have_run, "probe_failed"));
        }
    }
    Ok(())
}

/// Heeds what the responses to a delegate say: the result passes them on, so that this host must not query the targets
/// itself later.
fn retire_leaving(host: &Host, query: &Query, progress: &Progress) {
    if progress.leaving.is_empty() {
        return;
    }
    let services = query.route().services.iter().map(|it| query.view.service(*it));
    let targets = services.flat_map(|it| &it.targets);
    targets
        .filter(|it| progress.leaving.contains(&it.process()))
        .for_each(|it| transmit::retire(host, it));
}

impl ShardResults {
    /// Records the result of a shard that this relay queried itself.
    pub(super) fn record_call(&mut self, result: Result<TargetResponse, Failure>) {
        match result {
            Ok(response) if response.status.is_success() => self.responses.push(response),
            Ok(_) => self.record_failure(true, "target_refused"),
            Err(failure) => self.record_failure(failure.may_have_run, failure.cause),
        }
    }

    /// Records `count` shards that will not respond any more but may have run.
    pub(super) fn record_lost(&mut self, count: usize, cause: &str) {
        (0..count).for_each(|_| self.record_failure(true, cause));
    }

    fn record_failure(&mut self, may_have_run: bool, cause: &str) {
        self.failed.push(FailedShard { may_have_run, cause: cause.to_owned() });
    }

    /// Number of shards that have ended, with or without a response.
    pub(super) fn ended(&self) -> usize {
        let delegated: usize = self.delegated.iter().map(Progress::ended).sum();
        self.responses.len() + self.failed.len() + delegated
    }

    /// Whether a shard that this relay queried itself has failed.
    pub(super) fn has_failed(&self) -> bool {
        !self.failed.is_empty()
    }

    fn covered(&self) -> usize {
        let delegated: usize = self.delegated.iter().map(|it| it.signatures.len()).sum();
        self.responses.len() + delegated
    }

    fn failures(&self) -> impl Iterator<Item = &FailedShard> {
        self.failed.iter().chain(self.delegated.iter().flat_map(|it| &it.failed))
    }

    fn may_have_run(&self) -> bool {
        self.failures().any(|it| it.may_have_run)
    }

    /// Whether shards were not run because the key has been withdrawn, and no shard has run so far.
    fn is_withdrawn(&self) -> bool {
        let withdrawn: &str = NotRunReason::KeyWithdrawn.into();
        self.covered() == 0
            && !self.may_have_run()
            && self.failures().any(|it| it.cause == withdrawn)
    }

    /// Why the last failed shard failed.
    fn cause(&self) -> &str {
        self.failures().last().map_or("", |it| &it.cause)
    }
}

fn merged_response(
    host: &Host,
    query: &Query,
    top: usize,
    results: &ShardResults,
    missing: usize,
) -> Response<Full<Bytes>> {
    let names = &host.cfg.headers;
    let bodies = results.responses.iter().map(|it| &it.body[..]);
    let body = merge_records(bodies.chain(results.delegated.iter().map(|it| &it.records[..])), top);
    let mut response = Response::new(Full::new(body));
    let headers = response.headers_mut();
    let direct_signatures =
        results.responses.iter().filter_map(|it| it.headers.get(&names.signature));
    let delegated_signatures = results.delegated.iter().flat_map(|it| &it.signatures);
    let signatures: Vec<&[u8]> = direct_signatures
        .map(HeaderValue::as_bytes)
        .chain(delegated_signatures.map(Vec::as_slice))
        .collect();
    if let Ok(joined) = HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
        headers.insert(names.signatures.clone(), joined);
    }
    headers.insert(names.missing_shards.clone(), HeaderValue::from(missing));
    response::set_request_id(host, query, headers);
    response
}
