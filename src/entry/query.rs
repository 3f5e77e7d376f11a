//! The root of a query: admission, choice of the index version, canary, fan-out, restart and answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    entry::{
        canary, driver,
        fan_out::FanOut,
        host::{ActiveConfig, Host},
        http::{Handled, RequestInfo},
        metrics::Cause,
        owners::Owners,
        reply::{Rejection, RequestId},
        shard::Shards,
    },
    error::{Error, Kind, Outcome, Result},
    event::{Event, Kind as EventKind},
    policy::{admit::Permit, canary::fingerprint, pin},
    state::GroupView,
    wire::{
        caller::{Answer, Missing, Query},
        owner::Class,
    },
};

/// The longest deadline of a request, in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 60_000;

/// The root stops waiting this long before the deadline, so that an answer with missing shards still arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// The margin is at most the caller's deadline divided by this.
const ANSWER_MARGIN_DIVISOR: u32 = 10;

/// The longest text of a query or body of a dispatch. It is sent to each owner with the list of sub-requests in one
/// frame of at most 1 MiB. A longer frame would close the connection.
const MAX_TEXT_BYTES: usize = 64 << 10;

/// A checked query, as the fan-out sends it to each shard.
pub(super) struct QuerySpec {
    pub(super) id: RequestId,
    pub(super) group: String,
    pub(super) index: String,
    pub(super) kind: String,
    pub(super) class: Class,
    pub(super) text: String,
    pub(super) fingerprint: u64,
    /// When the root stops waiting: the caller's deadline less the margin.
    pub(super) deadline: Instant,
}

/// Runs a query and answers the caller.
pub(super) async fn run<O: Owners>(
    host: &Arc<Host<O>>,
    info: &RequestInfo,
    query: Query,
) -> Handled<Answer> {
    let class = host.view().class(&query.kind);
    let result = answer(host, info, query, class).await;
    let result_label = match &result {
        Ok(it) if it.missing.is_empty() => "done",
        _ => "partial",
    };
    Handled { class: Some(class), result_label, result }
}

async fn answer<O: Owners>(
    host: &Arc<Host<O>>,
    info: &RequestInfo,
    query: Query,
    class: Class,
) -> Result<Answer, Rejection> {
    let deadline = answer_deadline(info.received_at, query.deadline_ms)?;
    check_text_len(&query.text)?;
    let _guard = host.requests.start()?;
    host.check_lease()?;
    let current = host.current();
    let group = current.view.admit(&info.caller, &query.kind, &query.group)?;
    if !current.view.is_idempotent(&query.kind) {
        let message = format!("{:?} is not idempotent; use /v1/dispatch", query.kind);
        return Err(Error::new(Kind::WrongKind, message).into());
    }
    let spec = Arc::new(QuerySpec {
        id: info.id,
        fingerprint: fingerprint(&query.group, &query.kind, &query.text),
        group: query.group,
        index: group.index.clone(),
        kind: query.kind,
        class,
        text: query.text,
        deadline,
    });
    canary::check_quarantine(host, spec.fingerprint)?;
    let Some(pin) = choose_version(&current, group) else {
        let message = format!("index {:?} has no version in use", spec.index);
        return Err(Error::new(Kind::NoTarget, message).into());
    };
    let permit = admit(host, &current, group, &spec, pin)?;
    let mut fan_out = FanOut::new(host.clone(), spec.clone(), pin.number, pin.total as usize);
    if !host.policy.is_known_good(spec.fingerprint) {
        canary::run(host, &spec, &mut fan_out)
            .await
            .map_err(|err| rejection_after_send(err, fan_out.shards()))?;
    }
    let requests = fan_out.send_unsettled(Cause::First);
    driver::run(host, &mut fan_out, requests).await;
    let fan_out = restart_if_shards_lost(host, &spec, pin, fan_out).await;
    permit.report(lost_shards_to_load(fan_out.shards()), Instant::now());
    build_answer(host, &spec, fan_out)
}

/// Fails if a text or body is longer than [`MAX_TEXT_BYTES`].
pub(super) fn check_text_len(text: &str) -> Result<()> {
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("text or body exceeds {MAX_TEXT_BYTES} bytes");
        return Err(Error::new(Kind::TooLarge, message));
    }
    Ok(())
}

/// When the root stops waiting. Fails if the deadline is too long or that time has passed.
pub(super) fn answer_deadline(arrived: Instant, deadline_ms: u64) -> Result<Instant> {
    if deadline_ms > MAX_DEADLINE_MS {
        let message = format!("deadline_ms exceeds {MAX_DEADLINE_MS}");
        return Err(Error::new(Kind::BadRequest, message));
    }
    let timeout = Duration::from_millis(deadline_ms);
    let deadline = arrived + timeout - ANSWER_MARGIN.min(timeout / ANSWER_MARGIN_DIVISOR);
    if Instant::now() >= deadline {
        return Err(Error::new(
            Kind::DeadlinePassed,
            "the deadline passed before anything was sent",
        ));
    }
    Ok(deadline)
}

fn choose_version(current: &ActiveConfig, group: &GroupView) -> Option<pin::Pin> {
    let loads = current.loads.lock();
    let now = Instant::now();
    pin::choose(group, |it| loads.usable(it, now))
}

/// Admits the query unless too many queries run or the estimated queueing time exceeds its deadline.
fn admit<O: Owners>(
    host: &Host<O>,
    current: &ActiveConfig,
    group: &GroupView,
    spec: &QuerySpec,
    pin: pin::Pin,
) -> Result<Permit> {
    let now = Instant::now();
    let recent = host.policy.group(&spec.group).lock().tail_latency(now);
    let loads = current.loads.lock();
    let shards = &group.versions[pin.index].shards;
    // The mean over the shards, because one slow shard is no reason to reject a query that can cover all others. The
    // tail latency includes queueing, so it is an upper bound of the wait.
    let waits: Duration =
        shards.iter().map(|it| loads.queue_wait(it, recent, now).min(recent)).sum();
    let wait = waits / pin.total.max(1);
    drop(loads);
    let left = spec.deadline.saturating_duration_since(now);
    let admitted = host.policy.admit(spec.class, wait, left);
    admitted.map_err(|kind| Error::new(kind, format!("cannot serve {} queries now", spec.class)))
}

/// Runs the query again, on another version, if shards of the pinned one have no usable target left and the other
/// version covers a larger share. Returns the run that covered the larger share.
async fn restart_if_shards_lost<O: Owners>(
    host: &Arc<Host<O>>,
    spec: &Arc<QuerySpec>,
    pinned: pin::Pin,
    first: FanOut<O>,
) -> FanOut<O> {
    if !first.shards().any_lost() || Instant::now() >= spec.deadline || host.check_lease().is_err()
    {
        return first;
    }
    let covered = first.shards().covered() as u32;
    let current = host.current();
    let Some(group) = current.view.group(&spec.group) else { return first };
    let other = {
        let loads = current.loads.lock();
        let now = Instant::now();
        pin::replacement(group, &pinned, covered, |it| loads.usable(it, now))
    };
    let Some(other) = other else { return first };
    let cause = format!(
        "restarted on version {}: version {} covers {covered} of {}",
        other.number, pinned.number, pinned.total
    );
    host.record(Event::new(EventKind::Retried, cause).request(spec.id.to_string()));
    let mut second = FanOut::new(host.clone(), spec.clone(), other.number, other.total as usize);
    let requests = second.send_unsettled(Cause::Restart);
    driver::run(host, &mut second, requests).await;
    if covered_share(second.shards()) > covered_share(first.shards()) { second } else { first }
}

/// Whether shards are missing because of overload or the deadline. Admission then lowers its limit of broad queries.
fn lost_shards_to_load(shards: &Shards) -> bool {
    let load = [Kind::Overloaded, Kind::Shed, Kind::DeadlinePassed, Kind::Timeout];
    shards.missing().iter().any(|it| load.contains(&it.reason))
}

/// The share of the shards that are covered. Versions may differ in their number of shards.
fn covered_share(shards: &Shards) -> f64 {
    shards.covered() as f64 / shards.total() as f64
}

fn build_answer<O: Owners>(
    host: &Host<O>,
    spec: &QuerySpec,
    mut fan_out: FanOut<O>,
) -> Result<Answer, Rejection> {
    record_events(host, spec, &fan_out);
    let shards = fan_out.shards();
    if shards.covered() == 0 {
        let unknown = shards.missing().into_iter().map(|it| it.reason);
        let kind = unknown.max_by_key(|it| it.outcome() == Outcome::Unknown);
        let message = format!("none of the {} shards answered", shards.total());
        return Err(rejection_after_send(
            Error::new(kind.unwrap_or(Kind::NoTarget), message),
            shards,
        ));
    }
    let mut answer = Answer {
        request_id: spec.id.to_string(),
        outcome: Outcome::Done,
        version: shards.version(),
        covered: shards.covered() as u32,
        total: shards.total() as u32,
        missing: shards.missing(),
        rows: Vec::new(),
    };
    answer.rows = fan_out.take_rows();
    Ok(answer)
}

/// The answer for a query that failed after sub-requests were sent. Its outcome is `unknown` if one may have run.
fn rejection_after_send(error: Error, shards: &Shards) -> Rejection {
    let mut rejection = Rejection::from(error);
    if shards.may_have_run() {
        rejection.outcome = Outcome::Unknown;
    }
    rejection
}

/// Records events for missing shards and additional sub-requests, and logs results that belong to no sub-request.
fn record_events<O: Owners>(host: &Host<O>, spec: &QuerySpec, fan_out: &FanOut<O>) {
    let event = |kind, cause| host.record(Event::new(kind, cause).request(spec.id.to_string()));
    if fan_out.extra_sub_requests > 0 {
        event(
            EventKind::Retried,
            format!("{} sub-requests hedged or retried", fan_out.extra_sub_requests),
        );
    }
    if fan_out.unexpected_answers > 0 {
        log::warn!(
            "action=query request={} foreign_answers={}",
            spec.id,
            fan_out.unexpected_answers
        );
    }
    let missing = fan_out.shards().missing();
    let mut reasons: Vec<Kind> = missing.iter().map(|it| it.reason).collect();
    reasons.sort_by_key(|it| <&str>::from(*it));
    reasons.dedup();
    for reason in reasons {
        let of_reason = |it: &&Missing| it.reason == reason;
        let shards: Vec<String> =
            missing.iter().filter(of_reason).map(|it| it.shard.to_string()).collect();
        event(EventKind::ShardMissing, format!("{reason}: shards {}", shards.join(",")));
    }
}
