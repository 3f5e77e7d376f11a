//! The root of a query: from admission to the answer.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    entry::{
        canary, drive,
        fan::Fan,
        host::{Current, Host},
        http::{Arrival, Ended},
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

/// The root stops this long before the deadline, so that an answer with missing shards still arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// The margin is at most this share of the deadline.
const ANSWER_MARGIN_SHARE: u32 = 10;

/// The longest text of a query and body of a dispatch. It travels to each owner in a frame of at most 1 MiB, together
/// with the list of sub-requests, and a frame that is too long costs the connection.
const MAX_TEXT_BYTES: usize = 64 << 10;

/// What a query asks of each shard.
pub(super) struct Ask {
    pub(super) id: RequestId,
    pub(super) group: String,
    pub(super) index: String,
    pub(super) kind: String,
    pub(super) class: Class,
    pub(super) text: String,
    pub(super) fingerprint: u64,
    /// When the root stops waiting.
    pub(super) end: Instant,
}

/// Runs a query.
pub(super) async fn run<O: Owners>(
    host: &Arc<Host<O>>,
    arrival: &Arrival,
    query: Query,
) -> Ended<Answer> {
    let class = host.view().class(&query.kind);
    let result = answer(host, arrival, query, class).await;
    let word = match &result {
        Ok(it) if it.missing.is_empty() => "done",
        _ => "partial",
    };
    Ended { class: Some(class), word, result }
}

async fn answer<O: Owners>(
    host: &Arc<Host<O>>,
    arrival: &Arrival,
    query: Query,
    class: Class,
) -> Result<Answer, Rejection> {
    let end = deadline(arrival.at, query.deadline_ms)?;
    check_text(&query.text)?;
    let _pass = host.gate.enter()?;
    host.check_lease()?;
    let current = host.current();
    let group = current.view.admit(&arrival.caller, &query.kind, &query.group)?;
    if !current.view.is_idempotent(&query.kind) {
        let message = format!("{:?} may not be repeated; use /v1/dispatch", query.kind);
        return Err(Error::new(Kind::WrongKind, message).into());
    }
    let ask = Arc::new(Ask {
        id: arrival.id,
        fingerprint: fingerprint(&query.group, &query.kind, &query.text),
        group: query.group,
        index: group.index.clone(),
        kind: query.kind,
        class,
        text: query.text,
        end,
    });
    canary::check(host, ask.fingerprint)?;
    let Some(pin) = choose(&current, group) else {
        let message = format!("the index {:?} has no version in use", ask.index);
        return Err(Error::new(Kind::NoTarget, message).into());
    };
    let permit = admit(host, &current, group, &ask, pin)?;
    let mut fan = Fan::new(host.clone(), ask.clone(), pin.number, pin.total as usize);
    if !host.policy.known_good(ask.fingerprint) {
        canary::run(host, &ask, &mut fan).await.map_err(|err| stopped(err, fan.shards()))?;
    }
    let steps = fan.full(Cause::First);
    drive::run(host, &mut fan, steps).await;
    let fan = restart(host, &ask, pin, fan).await;
    permit.report(late(fan.shards()), Instant::now());
    finish(host, &ask, fan)
}

/// Fails if a text is too long for the way to the owners.
pub(super) fn check_text(text: &str) -> Result<()> {
    if text.len() > MAX_TEXT_BYTES {
        let message = format!("text and body have at most {MAX_TEXT_BYTES} bytes");
        return Err(Error::new(Kind::TooLarge, message));
    }
    Ok(())
}

/// When the root stops waiting.
pub(super) fn deadline(arrived: Instant, deadline_ms: u64) -> Result<Instant> {
    if deadline_ms > MAX_DEADLINE_MS {
        let message = format!("deadline_ms is at most {MAX_DEADLINE_MS}");
        return Err(Error::new(Kind::BadRequest, message));
    }
    let deadline = Duration::from_millis(deadline_ms);
    let end = arrived + deadline - ANSWER_MARGIN.min(deadline / ANSWER_MARGIN_SHARE);
    if Instant::now() >= end {
        return Err(Error::new(Kind::DeadlinePassed, "nothing was sent"));
    }
    Ok(end)
}

fn choose(current: &Current, group: &GroupView) -> Option<pin::Pin> {
    let loads = current.loads.lock();
    let now = Instant::now();
    pin::choose(group, |it| loads.usable(it, now))
}

/// Admits the query unless the limits are reached or the targets' queues are too long for its deadline.
fn admit<O: Owners>(
    host: &Host<O>,
    current: &Current,
    group: &GroupView,
    ask: &Ask,
    pin: pin::Pin,
) -> Result<Permit> {
    let now = Instant::now();
    let recent = host.policy.group(&ask.group).lock().recent(now);
    let loads = current.loads.lock();
    let shards = &group.versions[pin.index].shards;
    // The mean, because one slow shard is no reason to reject a query that can cover all others. The recent latency
    // contains the time in the queue, so that it bounds the wait too.
    let waits: Duration =
        shards.iter().map(|it| loads.queue_wait(it, recent, now).min(recent)).sum();
    let wait = waits / pin.total.max(1);
    drop(loads);
    let left = ask.end.saturating_duration_since(now);
    let admitted = host.policy.admit(ask.class, wait, left);
    admitted.map_err(|kind| Error::new(kind, format!("{} queries are limited", ask.class)))
}

/// Starts once more on another version if the pinned one lost shards and the other one covers more.
async fn restart<O: Owners>(
    host: &Arc<Host<O>>,
    ask: &Arc<Ask>,
    pinned: pin::Pin,
    first: Fan<O>,
) -> Fan<O> {
    if !first.shards().any_lost() || Instant::now() >= ask.end || host.check_lease().is_err() {
        return first;
    }
    let covered = first.shards().covered() as u32;
    let current = host.current();
    let Some(group) = current.view.group(&ask.group) else { return first };
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
    host.record(Event::new(EventKind::Retried, cause).request(ask.id.to_string()));
    let mut second = Fan::new(host.clone(), ask.clone(), other.number, other.total as usize);
    let steps = second.full(Cause::Restart);
    drive::run(host, &mut second, steps).await;
    if share(second.shards()) > share(first.shards()) { second } else { first }
}

/// Whether queues or deadlines cost the query shards.
fn late(shards: &Shards) -> bool {
    let load = [Kind::Overloaded, Kind::Shed, Kind::DeadlinePassed, Kind::Timeout];
    shards.missing().iter().any(|it| load.contains(&it.reason))
}

fn share(shards: &Shards) -> f64 {
    shards.covered() as f64 / shards.total() as f64
}

fn finish<O: Owners>(host: &Host<O>, ask: &Ask, mut fan: Fan<O>) -> Result<Answer, Rejection> {
    record(host, ask, &fan);
    let shards = fan.shards();
    if shards.covered() == 0 {
        let unknown = shards.missing().into_iter().map(|it| it.reason);
        let kind = unknown.max_by_key(|it| it.outcome() == Outcome::Unknown);
        let message = format!("none of {} shards was covered", shards.total());
        return Err(stopped(Error::new(kind.unwrap_or(Kind::NoTarget), message), shards));
    }
    let mut answer = Answer {
        request_id: ask.id.to_string(),
        outcome: Outcome::Done,
        version: shards.version(),
        covered: shards.covered() as u32,
        total: shards.total() as u32,
        missing: shards.missing(),
        rows: Vec::new(),
    };
    answer.rows = fan.take_rows();
    Ok(answer)
}

/// An error after sub-requests were sent: `not_run` only if none can have reached a target.
fn stopped(error: Error, shards: &Shards) -> Rejection {
    let mut rejection = Rejection::from(error);
    if shards.may_have_run() {
        rejection.outcome = Outcome::Unknown;
    }
    rejection
}

/// Records what deserves an explanation: missing shards, extra sub-requests, answers to nothing.
fn record<O: Owners>(host: &Host<O>, ask: &Ask, fan: &Fan<O>) {
    let event = |kind, cause| host.record(Event::new(kind, cause).request(ask.id.to_string()));
    if fan.extra > 0 {
        event(EventKind::Retried, format!("{} sub-requests hedged or tried again", fan.extra));
    }
    if fan.foreign > 0 {
        log::warn!("action=query request={} foreign_answers={}", ask.id, fan.foreign);
    }
    let missing = fan.shards().missing();
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
