//! A sub-request to one service: choice of targets, hedge and repetition.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures::{StreamExt, stream::FuturesUnordered};
use rand::RngExt;
use tokio::time::{sleep, sleep_until};

use crate::{
    relay::{
        exchange::{self, Answer, Leash, Outcome},
        host::Host,
        request::Query,
        target::Target,
        view::{Service, ServiceKey},
    },
    route,
};

/// How many refusals are followed by another target, beside the attempts that the route allows.
const MAX_REFUSALS: usize = 3;

/// The pause before targets that were all busy are looked at again.
const BUSY_PAUSE: Duration = Duration::from_millis(3);

/// The part of the objective for which a sub-request waits for a connection.
const MAX_WAIT_DIVISOR: u32 = 4;

/// Costs of targets are told apart by at least this share, so that hosts do not all choose the same one.
const JITTER: f64 = 0.05;

/// Why a sub-request has no answer.
#[derive(Debug)]
pub(super) struct Failure {
    /// Whether a target may have run it.
    pub(super) ran: bool,
    /// The last answer of a target that failed.
    pub(super) answer: Option<Answer>,
    /// What happened, for the log.
    pub(super) cause: &'static str,
}

/// What one sub-request has come to so far.
struct Progress {
    tried: Vec<Arc<Target>>,
    /// How many targets may have run it or may still do so.
    attempts: usize,
    refusals: usize,
    failure: Failure,
}

/// Sends a sub-request to a service and waits for its answer.
pub(super) async fn call(
    host: &Arc<Host>,
    query: &Arc<Query>,
    key: ServiceKey,
) -> Result<Answer, Failure> {
    let service = query.view.service(key);
    service.repeats.lock().earn(1);
    let first = wait_for_target(query, service).await?;
    let hedge_at = Instant::now() + hedge_delay(query, service, &first);
    let hedge = sleep_until(hedge_at.into());
    tokio::pin!(hedge);
    let leash = Arc::<Leash>::default();
    let mut running = FuturesUnordered::new();
    running.push(exchange::start(host, query, &leash, &first).end());
    let mut progress = Progress {
        tried: vec![first],
        attempts: 1,
        refusals: 0,
        failure: Failure { ran: false, answer: None, cause: "no_target" },
    };
    let mut hedged = query.path().route.kind != route::Kind::Idempotent;
    loop {
        let cause = tokio::select! {
            Some((target, outcome)) = running.next() => {
                match progress.take(query, &target, outcome) {
                    Ok(answer) => {
                        leash.release();
                        return Ok(answer);
                    }
                    Err(cause) => cause,
                }
            }
            () = &mut hedge, if !hedged => {
                hedged = true;
                "late"
            }
        };
        match progress.next(query, service) {
            Some(target) => {
                log::info!(
                    "event=repeated request={} service={} target={} cause={cause} attempt={} revision={}",
                    query.id(),
                    service.name,
                    target.name,
                    progress.attempts + 1,
                    query.view.revision
                );
                host.metrics.repeats.with_label_values(&[cause]).inc();
                progress.tried.push(target.clone());
                progress.attempts += 1;
                running.push(exchange::start(host, query, &leash, &target).end());
            }
            None if running.is_empty() => return Err(progress.failure),
            None => {}
        }
    }
}

impl Progress {
    /// Takes the end of an exchange: an answer to pass on, or the cause for another one.
    fn take(
        &mut self,
        query: &Query,
        target: &Target,
        outcome: Outcome,
    ) -> Result<Answer, &'static str> {
        let cause: &'static str = match outcome {
            Outcome::Answered(answer) if answer.status.is_server_error() => {
                self.failure.ran = true;
                self.failure.answer = Some(answer);
                "target_failed"
            }
            Outcome::Answered(answer) => return Ok(answer),
            Outcome::NotRun(refused) => {
                self.attempts -= 1;
                self.refusals += 1;
                refused.into()
            }
            Outcome::Unknown(broken) => {
                self.failure.ran = true;
                broken.into()
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

    /// Another target, if the rules of the route and the budget allow one more.
    fn next(&mut self, query: &Query, service: &Service) -> Option<Arc<Target>> {
        let route = &query.path().route;
        let repeatable = route.kind == route::Kind::Idempotent;
        let most = if repeatable { route.max_attempts.max(1) as usize } else { 1 };
        if self.attempts >= most
            || self.refusals > MAX_REFUSALS
            || (self.failure.ran && !repeatable)
        {
            return None;
        }
        let (target, _) = pick(query, service, &self.tried)?;
        service.repeats.lock().try_spend(1).then_some(target)
    }
}

/// Waits a moment if all targets are busy.
async fn wait_for_target(query: &Query, service: &Service) -> Result<Arc<Target>, Failure> {
    let end = query.arrived + query.objective() / MAX_WAIT_DIVISOR;
    loop {
        if let Some((target, _)) = pick(query, service, &[]) {
            return Ok(target);
        }
        let none = !service.targets.iter().any(|it| it.is_usable());
        if none || Instant::now() >= end {
            let cause = if none { "no_target" } else { "busy" };
            return Err(Failure { ran: false, answer: None, cause });
        }
        sleep(BUSY_PAUSE).await;
    }
}

/// The target that would answer first, and when.
fn pick(
    query: &Query,
    service: &Service,
    tried: &[Arc<Target>],
) -> Option<(Arc<Target>, Duration)> {
    let now = Instant::now();
    let homes = &query.path().route.homes;
    let usual = query.path().typical.lock().median();
    let mut rng = rand::rng();
    let usable = service.targets.iter().filter(|it| {
        it.is_usable()
            && (homes.is_empty() || homes.contains(&it.region))
            && !tried.iter().any(|tried| Arc::ptr_eq(it, tried))
    });
    let costs = usable.filter_map(|it| {
        let standing = it.standing.lock();
        let free = standing.running() < service.connections;
        let cost = it.pool.round_trip() + standing.cost(usual, it.slots, now);
        free.then(|| (it, cost.mul_f64(1.0 + rng.random_range(0.0..JITTER))))
    });
    let (best, cost) = costs.min_by_key(|(_, cost)| *cost)?;
    Some((best.clone(), cost))
}

/// How long to wait for the first target: until it is late, but not so long that another one could not answer in time.
fn hedge_delay(query: &Query, service: &Service, first: &Arc<Target>) -> Duration {
    let late = first.pool.round_trip() + query.path().typical.lock().late();
    let Some((_, other)) = pick(query, service, std::slice::from_ref(first)) else { return late };
    let left = query.stop_at.saturating_duration_since(Instant::now());
    match left.checked_sub(other) {
        Some(latest) => late.min(latest),
        None => late,
    }
}
