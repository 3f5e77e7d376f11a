//! Requests that may not be repeated: claimed in the control log before anything is sent, settled afterwards.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::random;
use tokio::time::timeout_at;
use tracing::{Instrument, Span, info_span};

use crate::{
    entry::{
        canary,
        gate::Pass,
        host::{Current, Host},
        http::{Arrival, Ended},
        owners::{Owners, Peer},
        query::{check_text, deadline},
        reply::Rejection,
    },
    error::{Error, Kind, Outcome, Result},
    policy::{
        admit::Permit,
        budget::{RetryRule, retry_rule},
        canary::fingerprint,
    },
    state::{Change, Claim, Reply, Settlement, TargetKey, check_name},
    trace,
    wire::{caller, owner},
};

/// How many targets may refuse the request before it is given up as not run.
const MAX_ATTEMPTS: usize = 4;

/// The share of the remaining time that the commit of the claim may take. The rest is for the request itself, or to
/// settle a claim whose commit is uncertain.
const CLAIM_SHARE: u32 = 2;

/// The longest result that is recorded. It stays in the control log and its snapshots for an hour.
const MAX_RESULT_BYTES: usize = 64 << 10;

/// How long the commit of a settlement is tried. Until then a request sent again is answered with `unknown`.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A claim that this host holds.
struct Ticket {
    key: String,
    nonce: u64,
}

/// A claim that this host holds, and what the attempts need.
struct Held {
    ticket: Ticket,
    fingerprint: u64,
    end: Instant,
    _permit: Permit,
}

/// The answer to a claim.
enum Claimed {
    Held(Held),
    Recorded(Outcome, Option<String>),
}

/// How the attempts ended.
struct Ending {
    settlement: Settlement,
    error: Option<Error>,
}

impl Ending {
    fn not_run(error: Error) -> Self {
        let settlement = Settlement { outcome: Outcome::NotRun, result: None };
        Self { settlement, error: Some(error) }
    }

    fn unknown(error: Error) -> Self {
        let settlement = Settlement { outcome: Outcome::Unknown, result: None };
        Self { settlement, error: Some(error) }
    }
}

/// Runs a request at most once.
pub(super) async fn run<O: Owners>(
    host: Arc<Host<O>>,
    arrival: Arrival,
    body: caller::Dispatch,
) -> Ended<caller::Dispatched> {
    let class = host.view().class(&body.kind);
    let result = answer(&host, &arrival, &body).await;
    Ended { class: Some(class), word: "done", result }
}

async fn answer<O: Owners>(
    host: &Arc<Host<O>>,
    arrival: &Arrival,
    body: &caller::Dispatch,
) -> Result<caller::Dispatched, Rejection> {
    let pass = host.gate.enter().map_err(|err| before_claim(body, err.into()))?;
    let held = hold(host, arrival, body).await.map_err(|err| before_claim(body, err))?;
    let held = match held {
        Claimed::Held(held) => held,
        Claimed::Recorded(outcome, result) => return recorded_answer(arrival, outcome, result),
    };
    let ending = attempts(host, arrival, body, held.fingerprint, held.end).await;
    settle(host, held.ticket, ending.settlement.clone(), pass, held.end).await;
    match ending.error {
        Some(error) => Err(Rejection { error, outcome: ending.settlement.outcome }),
        None => recorded_answer(arrival, Outcome::Done, ending.settlement.result),
    }
}

/// A refusal before the claim is known says nothing about earlier attempts with the same key.
fn before_claim(body: &caller::Dispatch, mut rejection: Rejection) -> Rejection {
    if body.resend {
        rejection.outcome = Outcome::Unknown;
    }
    rejection
}

/// Checks the request and claims its key.
async fn hold<O: Owners>(
    host: &Arc<Host<O>>,
    arrival: &Arrival,
    body: &caller::Dispatch,
) -> Result<Claimed, Rejection> {
    let end = deadline(arrival.at, body.deadline_ms)?;
    check_text(&body.body)?;
    host.check_lease()?;
    let current = host.current();
    current.view.admit(&arrival.caller, &body.kind, &body.group)?;
    if current.view.is_idempotent(&body.kind) {
        let message = format!("{:?} may be repeated; use /v1/query", body.kind);
        return Err(Error::new(Kind::WrongKind, message).into());
    }
    check_name(&body.key)?;
    let fingerprint = fingerprint(&body.group, &body.kind, &body.body);
    canary::check(host, fingerprint)?;
    if candidates(&current, &body.group).is_empty() {
        return Err(Error::new(Kind::NoTarget, "no target of the group takes new work").into());
    }
    let class = current.view.class(&body.kind);
    let left = end.saturating_duration_since(Instant::now());
    let permit = host.policy.admit(class, Duration::ZERO, left)?;

    let claim = Claim {
        key: format!("{}/{}", arrival.caller, body.key),
        fingerprint,
        issued_at_ms: body.issued_at_ms,
        nonce: random(),
        node: host.parts.cfg.name.clone(),
    };
    let ticket = Ticket { key: claim.key.clone(), nonce: claim.nonce };
    match claimed(host, claim, end).await {
        Ok(Reply::Granted) => Ok(Claimed::Held(Held { ticket, fingerprint, end, _permit: permit })),
        Ok(Reply::Claimed { outcome, result }) => Ok(Claimed::Recorded(outcome, result)),
        Ok(Reply::Rejected(err)) => Err(err.into()),
        Ok(other) => Err(unknown(format!("the control hosts answer {other:?}"))),
        Err(err) => Err(withdraw(host, ticket, end, err).await),
    }
}

fn recorded_answer(
    arrival: &Arrival,
    outcome: Outcome,
    result: Option<String>,
) -> Result<caller::Dispatched, Rejection> {
    if outcome != Outcome::Done {
        return Err(unknown("the key was claimed before and the request may have run"));
    }
    Ok(caller::Dispatched { request_id: arrival.id.to_string(), outcome, result })
}

fn unknown(message: impl Into<String>) -> Rejection {
    Error::new(Kind::Unknown, message).into()
}

/// Commits the claim. After an error it may have been committed.
async fn claimed<O: Owners>(host: &Host<O>, claim: Claim, end: Instant) -> Result<Reply> {
    let share = end.saturating_duration_since(Instant::now()) / CLAIM_SHARE;
    let commit = host.parts.control.submit(None, Change::Claim(claim), share);
    match timeout_at((Instant::now() + share).into(), commit).await {
        Ok(reply) => reply,
        Err(_) => Err(Error::new(Kind::NoQuorum, "the claim was not confirmed in time")),
    }
}

/// Nothing was sent, but the claim may have been committed. `not_run` is only true for a request that is sent again if
/// the claim is known to have ended that way.
async fn withdraw<O: Owners>(
    host: &Host<O>,
    ticket: Ticket,
    end: Instant,
    cause: Error,
) -> Rejection {
    let settlement = Settlement { outcome: Outcome::NotRun, result: None };
    let change = Change::Settle { key: ticket.key, nonce: ticket.nonce, settlement };
    let left = end.saturating_duration_since(Instant::now());
    let settled = timeout_at(end.into(), host.parts.control.submit(None, change, left)).await;
    match settled {
        Ok(Ok(Reply::Applied { .. })) => Error::new(Kind::NoQuorum, cause.message).into(),
        _ => unknown(format!("the claim is uncertain: {cause}")),
    }
}

/// Sends the request to one target after another as long as each one certainly did not run it.
async fn attempts<O: Owners>(
    host: &Host<O>,
    arrival: &Arrival,
    body: &caller::Dispatch,
    fingerprint: u64,
    end: Instant,
) -> Ending {
    let mut last = Error::new(Kind::NoTarget, "no target of the group takes new work");
    let mut tried = Vec::new();
    while tried.len() < MAX_ATTEMPTS && retry_rule(last.kind) == RetryRule::Free {
        if let Err(err) = host.check_lease() {
            return Ending::not_run(err);
        }
        let current = host.current();
        let mut open = candidates(&current, &body.group);
        open.retain(|it| !tried.contains(&current.view.target(*it).name));
        let Some(key) = current.pick(&open) else { break };
        let target = current.view.target(key).name.clone();
        tried.push(target.clone());
        let Ok(peer) = Host::<O>::owner_of(&current.view, &target) else { continue };
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Ending::not_run(Error::new(Kind::DeadlinePassed, "nothing was sent"));
        }
        let longest = Duration::from_millis(host.parts.cfg.max_sub_request_ms);
        let dispatch = owner::Dispatch {
            request_id: arrival.id.0,
            traceparent: None,
            target: target.clone(),
            key: body.key.clone(),
            kind: body.kind.clone(),
            body: body.body.clone(),
            fingerprint,
            deadline_ms: left.min(longest).as_millis() as u64,
        };
        last = match attempt(host, &peer, dispatch, end).await {
            Ok(ending) => return ending,
            Err(err) => err,
        };
        current.failed(Some(&target), last.kind);
        log::info!("action=dispatch request={} target={target} result={last:?}", arrival.id);
    }
    Ending::not_run(last)
}

/// One attempt; an error means that no byte of the request reached the target's handler.
async fn attempt<O: Owners>(
    host: &Host<O>,
    peer: &Peer,
    mut dispatch: owner::Dispatch,
    end: Instant,
) -> Result<Ending> {
    let span = info_span!("owner_dispatch", owner = %peer.name, target = %dispatch.target);
    dispatch.traceparent = trace::traceparent(&span);
    let call = host.owners.dispatch(peer, dispatch).instrument(span);
    let answer = match timeout_at(end.into(), call).await {
        Ok(answer) => answer,
        Err(_) => return Ok(Ending::unknown(Error::new(Kind::Unknown, "no answer in time"))),
    };
    match answer {
        Ok(it) if it.outcome == Outcome::Done => {
            let settlement = Settlement { outcome: Outcome::Done, result: it.result };
            Ok(Ending { settlement, error: None })
        }
        Ok(it) if it.outcome == Outcome::NotRun => {
            Err(Error::new(it.error.unwrap_or(Kind::Shed), "the target did not run it"))
        }
        Ok(it) => {
            let cause = it.error.unwrap_or(Kind::Unknown);
            Ok(Ending::unknown(Error::new(Kind::Unknown, format!("it may have run: {cause}"))))
        }
        Err(err) if err.kind.outcome() == Outcome::NotRun => Err(err),
        Err(err) => {
            Ok(Ending::unknown(Error::new(Kind::Unknown, format!("it may have run: {err}"))))
        }
    }
}

/// Commits the settlement. The answer waits for it until the deadline only; the commit goes on after that.
async fn settle<O: Owners>(
    host: &Arc<Host<O>>,
    ticket: Ticket,
    mut settlement: Settlement,
    pass: Pass,
    end: Instant,
) {
    settlement.result.take_if(|it| it.len() > MAX_RESULT_BYTES);
    let control = host.parts.control.clone();
    let commit = async move {
        let _pass = pass;
        let outcome = settlement.outcome;
        let change = Change::Settle { key: ticket.key.clone(), nonce: ticket.nonce, settlement };
        match control.submit(None, change, SETTLE_TIMEOUT).await {
            Ok(Reply::Applied { .. }) => {}
            other => {
                log::warn!("action=settle key={} outcome={outcome} result={other:?}", ticket.key);
            }
        }
    };
    let task = tokio::spawn(commit.instrument(Span::current()));
    let _ = timeout_at(end.into(), task).await;
}

fn candidates(current: &Current, group: &str) -> Vec<TargetKey> {
    let view = &current.view;
    let versions = view.group(group).map_or(&[][..], |it| it.versions.as_slice());
    let mut keys: Vec<TargetKey> =
        versions.iter().flat_map(|it| it.shards.iter().flatten()).copied().collect();
    keys.sort_unstable();
    keys.dedup();
    keys.retain(|it| view.target(*it).usable && view.target(*it).owner.is_some());
    keys
}
