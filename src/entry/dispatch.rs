//! Non-idempotent requests, run at most once.
//!
//! The host first commits a claim of the request's idempotency key to the control log. Only the host whose claim was
//! granted sends the request. It then commits the settlement, that is the outcome and the result. A request that is
//! sent again with the same key, to any entry host, is run if the settlement is `not_run`; otherwise it gets the
//! recorded result, or `unknown` if there is none.

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
        host::{ActiveConfig, Host},
        http::{Handled, RequestInfo},
        owners::{Owners, Peer},
        query::{answer_deadline, check_text_len},
        reply::Rejection,
        request_tracker::RequestGuard,
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

/// How many targets are tried. If all of them refuse the request, it is answered with `not_run`.
const MAX_ATTEMPTS: usize = 4;

/// The claim may take the remaining time divided by this. The rest is for the request itself, or to settle a claim
/// whose commit is uncertain.
const CLAIM_TIME_DIVISOR: u32 = 2;

/// Longer results are not recorded, because a result stays in the control log and its snapshots for an hour.
const MAX_RESULT_BYTES: usize = 64 << 10;

/// How long the commit of a settlement is retried. Until it is committed, the same request sent again is answered with
/// `unknown`.
pub(super) const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Identifies a claim in the control log. The nonce distinguishes claims of the same key.
struct ClaimId {
    key: String,
    nonce: u64,
}

/// A claim that was granted to this host, with the admission permit of the request.
struct Held {
    id: ClaimId,
    fingerprint: u64,
    deadline: Instant,
    _permit: Permit,
}

/// The answer of the control hosts to a claim.
enum Claimed {
    /// The claim was granted to this request.
    New(Held),
    /// An earlier request has claimed the key; the recorded outcome and result.
    Existing(Outcome, Option<String>),
}

/// How the request ended: the settlement to commit, and the error for the caller unless it is done.
struct RunResult {
    settlement: Settlement,
    error: Option<Error>,
}

impl RunResult {
    fn not_run(error: Error) -> Self {
        let settlement = Settlement { outcome: Outcome::NotRun, result: None };
        Self { settlement, error: Some(error) }
    }

    fn unknown(error: Error) -> Self {
        let settlement = Settlement { outcome: Outcome::Unknown, result: None };
        Self { settlement, error: Some(error) }
    }
}

/// Runs a request at most once and answers the caller.
pub(super) async fn run<O: Owners>(
    host: Arc<Host<O>>,
    info: RequestInfo,
    body: caller::Dispatch,
) -> Handled<caller::Dispatched> {
    let class = host.view().class(&body.kind);
    let result = answer(&host, &info, &body).await;
    Handled { class: Some(class), result_label: "done", result }
}

async fn answer<O: Owners>(
    host: &Arc<Host<O>>,
    info: &RequestInfo,
    body: &caller::Dispatch,
) -> Result<caller::Dispatched, Rejection> {
    let guard = host.requests.start().map_err(|err| reject_before_claim(body, err.into()))?;
    let claimed =
        validate_and_claim(host, info, body).await.map_err(|err| reject_before_claim(body, err))?;
    let claim = match claimed {
        Claimed::New(claim) => claim,
        Claimed::Existing(outcome, result) => return recorded_answer(info, outcome, result),
    };
    let result = try_targets(host, info, body, claim.fingerprint, claim.deadline).await;
    commit_settlement(host, claim.id, result.settlement.clone(), guard, claim.deadline).await;
    match result.error {
        Some(error) => Err(Rejection { error, outcome: result.settlement.outcome }),
        None => recorded_answer(info, Outcome::Done, result.settlement.result),
    }
}

/// A request that fails before its claim is answered was not run by this host. If the caller marked it as sent again,
/// an earlier attempt with the same key may have run, so its outcome is unknown.
fn reject_before_claim(body: &caller::Dispatch, mut rejection: Rejection) -> Rejection {
    if body.resend {
        rejection.outcome = Outcome::Unknown;
    }
    rejection
}

/// Checks and admits the request, then claims its key.
async fn validate_and_claim<O: Owners>(
    host: &Arc<Host<O>>,
    info: &RequestInfo,
    body: &caller::Dispatch,
) -> Result<Claimed, Rejection> {
    let deadline = answer_deadline(info.received_at, body.deadline_ms)?;
    check_text_len(&body.body)?;
    host.check_lease()?;
    let current = host.current();
    current.view.admit(&info.caller, &body.kind, &body.group)?;
    if current.view.is_idempotent(&body.kind) {
        let message = format!("{:?} is idempotent; use /v1/query", body.kind);
        return Err(Error::new(Kind::WrongKind, message).into());
    }
    check_name(&body.key)?;
    let fingerprint = fingerprint(&body.group, &body.kind, &body.body);
    canary::check_quarantine(host, fingerprint)?;
    if usable_targets(&current, &body.group).is_empty() {
        return Err(Error::new(Kind::NoTarget, "no target of the group accepts new work").into());
    }
    let class = current.view.class(&body.kind);
    let left = deadline.saturating_duration_since(Instant::now());
    let permit = host.policy.admit(class, Duration::ZERO, left)?;

    let claim = Claim {
        key: format!("{}/{}", info.caller, body.key),
        fingerprint,
        issued_at_ms: body.issued_at_ms,
        nonce: random(),
        node: host.context.cfg.name.clone(),
    };
    let id = ClaimId { key: claim.key.clone(), nonce: claim.nonce };
    match submit_claim(host, claim, deadline).await {
        Ok(Reply::Granted) => Ok(Claimed::New(Held { id, fingerprint, deadline, _permit: permit })),
        Ok(Reply::Claimed { outcome, result }) => Ok(Claimed::Existing(outcome, result)),
        Ok(Reply::Rejected(err)) => Err(err.into()),
        Ok(other) => Err(unknown(format!("unexpected reply to the claim: {other:?}"))),
        Err(err) => Err(withdraw_claim(host, id, deadline, err).await),
    }
}

fn recorded_answer(
    info: &RequestInfo,
    outcome: Outcome,
    result: Option<String>,
) -> Result<caller::Dispatched, Rejection> {
    if outcome != Outcome::Done {
        return Err(unknown("an earlier request claimed the key and may have run"));
    }
    Ok(caller::Dispatched { request_id: info.id.to_string(), outcome, result })
}

fn unknown(message: impl Into<String>) -> Rejection {
    Error::new(Kind::Unknown, message).into()
}

/// Commits the claim. It may have been committed even if this fails.
async fn submit_claim<O: Owners>(host: &Host<O>, claim: Claim, deadline: Instant) -> Result<Reply> {
    let share = deadline.saturating_duration_since(Instant::now()) / CLAIM_TIME_DIVISOR;
    let commit = host.context.control.submit(None, Change::Claim(claim), share);
    match timeout_at((Instant::now() + share).into(), commit).await {
        Ok(reply) => reply,
        Err(_) => Err(Error::new(Kind::NoQuorum, "the claim was not committed in time")),
    }
}

/// Settles a claim that may have been committed, although nothing was sent, as `not_run`. The caller is told `not_run`
/// only if that settlement was committed. Otherwise the claim may still be granted to this request, and the same
/// request sent again would be answered with `unknown`.
async fn withdraw_claim<O: Owners>(
    host: &Host<O>,
    id: ClaimId,
    deadline: Instant,
    cause: Error,
) -> Rejection {
    let settlement = Settlement { outcome: Outcome::NotRun, result: None };
    let change = Change::Settle { key: id.key, nonce: id.nonce, settlement };
    let left = deadline.saturating_duration_since(Instant::now());
    let settled =
        timeout_at(deadline.into(), host.context.control.submit(None, change, left)).await;
    match settled {
        Ok(Ok(Reply::Applied { .. })) => Error::new(Kind::NoQuorum, cause.message).into(),
        _ => unknown(format!("cannot tell whether the claim was committed: {cause}")),
    }
}

/// Sends the request to one target after another, as long as each failure proves that the request did not run.
async fn try_targets<O: Owners>(
    host: &Host<O>,
    info: &RequestInfo,
    body: &caller::Dispatch,
    fingerprint: u64,
    deadline: Instant,
) -> RunResult {
    let mut last_error = Error::new(Kind::NoTarget, "no target of the group accepts new work");
    let mut tried = Vec::new();
    while tried.len() < MAX_ATTEMPTS && retry_rule(last_error.kind) == RetryRule::Free {
        if let Err(err) = host.check_lease() {
            return RunResult::not_run(err);
        }
        let current = host.current();
        let mut untried = usable_targets(&current, &body.group);
        untried.retain(|it| !tried.contains(&current.view.target(*it).name));
        let Some(key) = current.pick(&untried) else { break };
        let target = current.view.target(key).name.clone();
        tried.push(target.clone());
        let Ok(peer) = Host::<O>::owner_of(&current.view, &target) else { continue };
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return RunResult::not_run(Error::new(
                Kind::DeadlinePassed,
                "the deadline passed before anything was sent",
            ));
        }
        let longest = Duration::from_millis(host.context.cfg.max_sub_request_ms);
        let dispatch = owner::Dispatch {
            request_id: info.id.0,
            traceparent: None,
            target: target.clone(),
            key: body.key.clone(),
            kind: body.kind.clone(),
            body: body.body.clone(),
            fingerprint,
            deadline_ms: left.min(longest).as_millis() as u64,
        };
        last_error = match try_target(host, &peer, dispatch, deadline).await {
            Ok(result) => return result,
            Err(err) => err,
        };
        current.record_failure(Some(&target), last_error.kind);
        log::info!("action=dispatch request={} target={target} result={last_error:?}", info.id);
    }
    RunResult::not_run(last_error)
}

/// Sends the request to one target. An error means that no byte of it reached the target's handler.
async fn try_target<O: Owners>(
    host: &Host<O>,
    peer: &Peer,
    mut dispatch: owner::Dispatch,
    deadline: Instant,
) -> Result<RunResult> {
    let span = info_span!("owner_dispatch", owner = %peer.name, target = %dispatch.target);
    dispatch.traceparent = trace::traceparent(&span);
    let call = host.owners.dispatch(peer, dispatch).instrument(span);
    let answer = match timeout_at(deadline.into(), call).await {
        Ok(answer) => answer,
        Err(_) => return Ok(RunResult::unknown(Error::new(Kind::Unknown, "owner timed out"))),
    };
    match answer {
        Ok(it) if it.outcome == Outcome::Done => {
            let settlement = Settlement { outcome: Outcome::Done, result: it.result };
            Ok(RunResult { settlement, error: None })
        }
        Ok(it) if it.outcome == Outcome::NotRun => {
            Err(Error::new(it.error.unwrap_or(Kind::Shed), "the target refused the request"))
        }
        Ok(it) => {
            let cause = it.error.unwrap_or(Kind::Unknown);
            Ok(RunResult::unknown(Error::new(Kind::Unknown, format!("it may have run: {cause}"))))
        }
        Err(err) if err.kind.outcome() == Outcome::NotRun => Err(err),
        Err(err) => {
            Ok(RunResult::unknown(Error::new(Kind::Unknown, format!("it may have run: {err}"))))
        }
    }
}

/// Commits the settlement in a task of its own. Waits for it until the deadline; the task continues after that, and the
/// planned stop of the host waits for it.
async fn commit_settlement<O: Owners>(
    host: &Arc<Host<O>>,
    id: ClaimId,
    mut settlement: Settlement,
    guard: RequestGuard,
    deadline: Instant,
) {
    settlement.result.take_if(|it| it.len() > MAX_RESULT_BYTES);
    let control = host.context.control.clone();
    let commit = async move {
        let _guard = guard;
        let outcome = settlement.outcome;
        let change = Change::Settle { key: id.key.clone(), nonce: id.nonce, settlement };
        match control.submit(None, change, SETTLE_TIMEOUT).await {
            Ok(Reply::Applied { .. }) => {}
            other => {
                log::warn!("action=settle key={} outcome={outcome} result={other:?}", id.key);
            }
        }
    };
    let task = tokio::spawn(commit.instrument(Span::current()));
    let _ = timeout_at(deadline.into(), task).await;
}

/// All targets of the group that accept new work and have an owner.
fn usable_targets(current: &ActiveConfig, group: &str) -> Vec<TargetKey> {
    let view = &current.view;
    let versions = view.group(group).map_or(&[][..], |it| it.versions.as_slice());
    let mut keys: Vec<TargetKey> =
        versions.iter().flat_map(|it| it.shards.iter().flatten()).copied().collect();
    keys.sort_unstable();
    keys.dedup();
    keys.retain(|it| view.target(*it).usable && view.target(*it).owner.is_some());
    keys
}
