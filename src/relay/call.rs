//! Sends a sub-request to one service: selects targets, hedges a slow attempt and retries a failed one.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{StreamExt, stream::FuturesUnordered};
use rand::RngExt;
use tokio::time::{sleep, sleep_until};

use crate::{
    relay::{
        admission::Choice,
        exchange::{self, DetachFlag, NotRunReason, Outcome, TargetResponse, UnknownReason},
        host::Host,
        request::Query,
        suspect,
        target::Target,
        view::{Service, ServiceKey},
        wait,
    },
    route,
};

/// How many refusals may be followed by an attempt at another target. A target that refuses has not run the request, so
/// refusals do not count towards the route's `max_attempts`.
const MAX_REFUSALS: usize = 3;

/// How many unreachable targets may be replaced by another one. The request never reached them, so replacing them costs
/// no token of the retry budget.
const MAX_UNREACHABLE: usize = 8;

/// A zone with this many unreachable targets counts as lost; the request then prefers targets in other zones.
const ZONE_LOST_THRESHOLD: usize = 2;

/// Delay before targets that refused a request are tried again. It doubles each time.
const INITIAL_BACKOFF: Duration = Duration::from_millis(25);

/// A sub-request waits for a target at most for the time until the hard deadline divided by this.
const MAX_WAIT_DIVISOR: u32 = 3;

/// A target in the own region is preferred if its cost is at most the time until the soft deadline divided by this,
/// because traffic between regions costs more than saving a few milliseconds is worth.
const OWN_REGION_DIVISOR: u32 = 3;

/// Costs are increased by a random share of up to this much, so that hosts do not all choose the same target.
const COST_JITTER: f64 = 0.05;

/// Why a sub-request got no usable response.
#[derive(Debug)]
pub(super) struct Failure {
    /// Whether a target may have run the sub-request.
    pub(super) may_have_run: bool,
    /// The last server error that a target returned.
    pub(super) response: Option<TargetResponse>,
    /// What happened last, for the log and the response to the caller.
    pub(super) cause: &'static str,
}

impl Failure {
    /// No target of the service could be reached.
    fn unreachable() -> Self {
        Self { may_have_run: false, response: None, cause: NotRunReason::Unreachable.into() }
    }

    /// The task that sent the sub-request has ended without a result.
    pub(super) fn lost() -> Self {
        Self { may_have_run: true, response: None, cause: UnknownReason::Disconnected.into() }
    }
}

/// The state of a sub-request over all its attempts.
struct CallState {
    /// Targets that were selected since the last backoff.
    tried: Vec<Arc<Target>>,
    /// Attempts that ran, may have run or are still in flight. Attempts that were not run do not count.
    attempts: usize,
    /// Refusals since the last backoff.
    refusals: usize,
    /// Targets that could not be reached since the last backoff.
    unreachable: Vec<Arc<Target>>,
    /// Whether the next attempt replaces one that reached no target, and so costs no retry token.
    needs_no_token: bool,
    /// Whether no further attempt may be made.
    is_final: bool,
    /// What is returned if no attempt succeeds.
    failure: Failure,
}

/// Sends a sub-request to a service and waits for its response. If the first target is late or fails, further targets
/// are tried as far as the route and the retry budget allow. At most `max_attempts` targets may run the sub-request.
pub(super) async fn call(
    host: &Arc<Host>,
    query: &Arc<Query>,
    key: ServiceKey,
    max_attempts: usize,
) -> Result<TargetResponse, Failure> {
    let service = query.view.service(key);
    service.retry_budget.lock().earn(1);
    let is_canary = service.rollout.as_ref().is_some_and(|it| it.draw(&host.freshness));
    if !is_canary && service.is_down(Instant::now()) && query.give_up_shard() {
        return Err(Failure::unreachable());
    }
    let first = wait_for_target(host, query, service, is_canary).await?;
    let hedge_at = Instant::now() + hedge_delay(host, query, service, &first);
    let hedge = sleep_until(hedge_at.into());
    tokio::pin!(hedge);
    let detach = Arc::<DetachFlag>::default();
    let mut running = FuturesUnordered::new();
    running.push(exchange::start(host, query, &detach, service, &first).join());
    let mut state = CallState {
        tried: vec![first],
        attempts: 1,
        refusals: 0,
        unreachable: Vec::new(),
        needs_no_token: false,
        is_final: false,
        failure: Failure { may_have_run: false, response: None, cause: "no_target" },
    };
    // Only idempotent requests are hedged.
    let mut hedged = query.route().config.kind != route::Kind::Idempotent;
    loop {
        let cause = tokio::select! {
            Some((target, outcome)) = running.next() => {
                if matches!(outcome, Outcome::Unknown(UnknownReason::Disconnected)) {
                    suspect::check_for_crash(host, query, &service.name, &target);
                }
                match state.handle_outcome(query, &target, outcome) {
                    Ok(response) => {
                        suspect::record_answer(host, query, &service.name);
                        detach.set();
                        return Ok(response);
                    }
                    Err(cause) => cause,
                }
            }
            () = &mut hedge, if !hedged => {
                hedged = true;
                "late"
            }
        };
        match state.next_target(host, query, service, max_attempts, cause == "late") {
            Some(target) => {
                log::info!(
                    "event=repeated request={} service={} target={} cause={cause} attempt={} revision={}",
                    query.id(),
                    service.name,
                    target.name,
                    state.attempts + 1,
                    query.view.revision
                );
                host.metrics.retries.with_label_values(&[cause]).inc();
                state.tried.push(target.clone());
                state.attempts += 1;
                running.push(exchange::start(host, query, &detach, service, &target).join());
            }
            None if !running.is_empty() => {}
            None if state.reached_no_target() && query.give_up_shard() => return Err(state.failure),
            None => {
                let Some(target) = state.wait_for_retry(host, query, service, max_attempts).await
                else {
                    return Err(state.failure);
                };
                state.tried.push(target.clone());
                state.attempts += 1;
                running.push(exchange::start(host, query, &detach, service, &target).join());
            }
        }
    }
}

impl CallState {
    /// Records the outcome of an exchange. Returns the response to pass on, or the cause for another attempt.
    fn handle_outcome(
        &mut self,
        query: &Query,
        target: &Arc<Target>,
        outcome: Outcome,
    ) -> Result<TargetResponse, &'static str> {
        let cause: &'static str = match outcome {
            Outcome::Answered(response) if response.status.is_server_error() => {
                self.failure.may_have_run = true;
                self.failure.response = Some(response);
                "target_failed"
            }
            Outcome::Answered(response) => return Ok(response),
            Outcome::NotRun(reason) => {
                self.attempts -= 1;
                self.is_final |= reason.is_final();
                self.needs_no_token =
                    matches!(reason, NotRunReason::Unreachable | NotRunReason::Withdrawn);
                match reason {
                    NotRunReason::Unreachable => self.unreachable.push(target.clone()),
                    NotRunReason::Withdrawn => {}
                    _ => self.refusals += 1,
                }
                reason.into()
            }
            Outcome::Unknown(reason) => {
                self.failure.may_have_run = true;
                reason.into()
            }
        };
        self.failure.cause = cause;
        log::info!(
            "event=exchange_failed request={} target={} zone={} cause={cause} waited_ms={}",
            query.id(),
            target.name,
            target.zone,
            query.arrived.elapsed().as_millis()
        );
        Err(cause)
    }

    /// Selects the target of another attempt and takes a token from the retry budget. `None` if the limits of the
    /// route, the limits of this module or the budget do not allow another attempt, or if no target is left. A hedge
    /// leaves a reserve in the budget, because a failed sub-request needs its token more than a late one.
    fn next_target(
        &mut self,
        host: &Host,
        query: &Query,
        service: &Service,
        max_attempts: usize,
        is_hedge: bool,
    ) -> Option<Arc<Target>> {
        let repeatable = query.route().config.kind == route::Kind::Idempotent;
        if self.is_final
            || self.attempts >= max_attempts
            || self.refusals > MAX_REFUSALS
            || self.unreachable.len() > MAX_UNREACHABLE
            || (self.failure.may_have_run && !repeatable)
        {
            return None;
        }
        let (target, _) = pick(host, query, service, Choice::Regular, |it| !self.should_avoid(it))
            .or_else(|| pick(host, query, service, Choice::Regular, |it| !self.has_tried(it)))?;
        if std::mem::take(&mut self.needs_no_token) {
            return Some(target);
        }
        let mut budget = service.retry_budget.lock();
        let allowed =
            if is_hedge { budget.try_spend_above_reserve(1) } else { budget.try_spend(1) };
        allowed.then_some(target)
    }

    /// Called when no further target can be tried and no exchange is running. Waits with exponential backoff, then
    /// tries all targets again. Gives up at once if a target may have run the request.
    async fn wait_for_retry(
        &mut self,
        host: &Host,
        query: &Query,
        service: &Service,
        max_attempts: usize,
    ) -> Option<Arc<Target>> {
        let now = Instant::now();
        let end = now + query.hard_deadline.saturating_duration_since(now) / MAX_WAIT_DIVISOR;
        let mut backoff = INITIAL_BACKOFF;
        while !self.is_final
            && !self.failure.may_have_run
            && Instant::now() + backoff < end
            && !service.is_suspended(&host.freshness)
        {
            sleep(backoff).await;
            backoff *= 2;
            // If no attempt reached a target, the next one is the first that may.
            self.needs_no_token = self.reached_no_target();
            self.tried.clear();
            self.unreachable.clear();
            self.refusals = 0;
            if let Some(target) = self.next_target(host, query, service, max_attempts, false) {
                return Some(target);
            }
        }
        None
    }

    /// Whether all attempts since the last backoff failed because the target could not be reached.
    fn reached_no_target(&self) -> bool {
        !self.failure.may_have_run
            && self.refusals == 0
            && !self.tried.is_empty()
            && self.unreachable.len() == self.tried.len()
    }

    fn has_tried(&self, target: &Arc<Target>) -> bool {
        self.tried.iter().any(|it| Arc::ptr_eq(it, target))
    }

    /// Whether the target was tried already, or is in a zone that counts as lost.
    fn should_avoid(&self, target: &Arc<Target>) -> bool {
        let unreachable = self.unreachable.iter().filter(|it| it.zone == target.zone).count();
        unreachable >= ZONE_LOST_THRESHOLD || self.has_tried(target)
    }
}

/// Selects the first target. Waits if all targets are busy.
async fn wait_for_target(
    host: &Host,
    query: &Query,
    service: &Service,
    is_canary: bool,
) -> Result<Arc<Target>, Failure> {
    let started = Instant::now();
    let pick = || {
        let pick = |choice| pick(host, query, service, choice, |_| true);
        let canary = if is_canary { pick(Choice::Canary) } else { None };
        canary.or_else(|| pick(Choice::Regular)).map(|(target, _)| target)
    };
    wait::for_target(host, query, service, is_canary, pick).await.map_err(|cause| {
        log::info!(
            "event=no_free_target request={} service={} cause={cause} waited_ms={} targets={} waiting={} revision={}",
            query.id(),
            service.name,
            started.elapsed().as_millis(),
            service.targets.len(),
            service.queue.lock().len(),
            query.view.revision
        );
        Failure { may_have_run: false, response: None, cause }
    })
}

/// Selects the eligible target with the lowest cost and returns it with that cost. A target qualifies if it is usable,
/// open to this choice, in a home region of the route and of the tenant, below the limit of requests in flight, and below
/// its cold-start limit. Targets in the
/// own region are preferred if they should respond in time.
fn pick(
    host: &Host,
    query: &Query,
    service: &Service,
    choice: Choice,
    eligible: impl Fn(&Arc<Target>) -> bool,
) -> Option<(Arc<Target>, Duration)> {
    let now = Instant::now();
    let median = query.route().latency.lock().median();
    let mut rng = rand::rng();
    // Only the version under rollout needs the lease.
    let has_lease = service.rollout.is_some() && host.freshness.has_lease();
    let usable = service.targets.iter().filter(|it| {
        it.is_usable()
            && it.admission().allows(choice, has_lease)
            && it.paused_until(now).is_none()
            && query.allows(it)
            && eligible(it)
    });
    let costs = usable.filter_map(|it| {
        let stats = it.stats.lock();
        let available =
            stats.in_flight() < service.max_in_flight && it.cold_start.lock().allows(now);
        let cost = it.pool.round_trip() + stats.cost(median, it.slots, now);
        available.then(|| (it, cost.mul_f64(1.0 + rng.random_range(0.0..COST_JITTER))))
    });
    let costs: Vec<_> = costs.collect();
    let best = |only_own_region: bool| {
        let allowed = |it: &&(&Arc<Target>, Duration)| !only_own_region || it.0.is_near;
        costs.iter().filter(allowed).min_by_key(|(_, cost)| *cost).copied()
    };
    let own_region_limit = query.soft_deadline.saturating_duration_since(now) / OWN_REGION_DIVISOR;
    let in_own_region = best(true).filter(|(_, cost)| *cost <= own_region_limit);
    let (target, cost) = in_own_region.or_else(|| best(false))?;
    Some((target.clone(), cost))
}

/// Delay before the hedge is sent: until the first target is late, but early enough that another target can still
/// respond before the soft deadline.
fn hedge_delay(host: &Host, query: &Query, service: &Service, first: &Arc<Target>) -> Duration {
    let late_after = first.pool.round_trip() + query.route().latency.lock().late_threshold();
    let other = pick(host, query, service, Choice::Regular, |it| !Arc::ptr_eq(it, first));
    let Some((_, other_cost)) = other else { return late_after };
    let left = query.soft_deadline.saturating_duration_since(Instant::now());
    match left.checked_sub(other_cost) {
        Some(latest) => late_after.min(latest),
        None => late_after,
    }
}
