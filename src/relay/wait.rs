//! Waits until a target of a service has room. The order and the limits are those of [`policy::queue`].
//!
//! [`policy::queue`]: crate::policy::queue

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::{sync::oneshot, time::timeout_at};

use crate::{
    policy::queue::{Bounds, Class, Flow, Queue, Ticket},
    relay::{exchange::NotRunReason, host::Host, request::Query, target::Target, view::Service},
};

/// A single request waits for a target at most for the time until its hard deadline divided by this, so that its caller
/// can still go to another host.
const MAX_WAIT_DIVISOR: u32 = 3;

/// A backlog shorter than this is no sign of overload: while all targets of a service pause, a few sub-requests wait and
/// the pace of the last grants says nothing.
const MIN_BACKLOG: usize = 4;

/// How often a waiting sub-request looks again without being woken, because cold-start limits end by time alone and
/// targets may be added.
const RECHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The sub-requests that wait for a service. A message wakes one of them; dropping the sender rejects it.
pub(super) type WaitQueue = Arc<Mutex<Queue<oneshot::Sender<()>>>>;

/// Wakes the sub-request whose turn it is, after a place became free.
pub(super) fn wake_next(queue: &WaitQueue) {
    // A waiter that has gone away does not receive the message; the place goes to the next one.
    while let Some(waiter) = { queue.lock().pop(Instant::now()) } {
        if waiter.send(()).is_ok() {
            return;
        }
    }
}

/// A place in the queue that is left when the wait ends, however it ends.
struct WaitGuard<'a> {
    queue: &'a WaitQueue,
    ticket: Ticket,
    /// Whether the wait ended because of the message that woke it.
    woken: bool,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let removed = self.queue.lock().remove(&self.ticket);
        if !removed && !self.woken {
            // The message was sent to a request that has ended meanwhile.
            wake_next(self.queue);
        }
    }
}

/// Waits until `pick` finds a target. The error is the reason why it is of no use to wait any longer. `is_canary` tells
/// that the sub-request is one for the new version of a rollout on trial.
pub(super) async fn for_target(
    host: &Host,
    query: &Query,
    service: &Service,
    is_canary: bool,
    mut pick: impl FnMut() -> Option<Arc<Target>>,
) -> Result<Arc<Target>, &'static str> {
    if service.queue.lock().is_empty()
        && let Some(target) = pick()
    {
        return Ok(target);
    }
    let priority = query.priority();
    let flow = flow(query);
    let bounds = bounds(query);
    let mut woken = false;
    loop {
        if host.is_key_withdrawn(query) {
            return Err(NotRunReason::KeyWithdrawn.into());
        }
        let now = Instant::now();
        let is_spare = query.has_spare_shards();
        let Some((class, until)) = bounds.stage(now, is_spare) else {
            // Another shard may have used up what could be spared.
            if is_spare && !query.give_up_shard() {
                continue;
            }
            return Err("busy");
        };
        let ticket = service.queue.lock().ticket_of(flow, class, priority, until);
        let has_turn = woken || service.queue.lock().is_first(&ticket);
        if has_turn && let Some(target) = pick() {
            if !woken {
                service.queue.lock().charge(&ticket);
            }
            return Ok(target);
        }
        if service.is_suspended(&host.freshness) {
            return Err("rollout_unconfirmed");
        }
        if !service.has_usable_target(query, is_canary) {
            return Err("no_target");
        }
        if !is_canary && service.paused_until(now).is_some_and(|it| it >= bounds.hard) {
            return Err("targets_paused");
        }
        // Shards that the response needs wait even so: rejecting one would waste the work of those that have responded.
        let may_reject = is_spare || !query.has_shards();
        if may_reject && service.queue.lock().is_hopeless(&ticket, now) {
            if is_spare && !query.give_up_shard() {
                continue;
            }
            return Err("overloaded");
        }
        let (tx, rx) = oneshot::channel();
        service.queue.lock().push(ticket, tx, now);
        let mut guard = WaitGuard { queue: &service.queue, ticket, woken: false };
        let end = until.min(now + RECHECK_INTERVAL);
        match timeout_at(end.into(), rx).await {
            Ok(Ok(())) => guard.woken = true,
            Ok(Err(_)) if ticket.latest_start() > Instant::now() => return Err("overloaded"),
            Ok(Err(_)) | Err(_) => {}
        }
        woken = guard.woken;
    }
}

/// The share of the capacity in which the request waits.
fn flow(query: &Query) -> Flow {
    query.tenant().map_or_else(Flow::default, |it| Flow::of_tenant(&it.name))
}

/// How long a sub-request to this service that arrives now is predicted to wait, and for how long its response can still
/// be complete in time. The wait is zero without a backlog.
pub(super) fn prediction(query: &Query, service: &Service, now: Instant) -> (Duration, Duration) {
    let latest = bounds(query).in_time();
    let class = if query.has_spare_shards() { Class::Spare } else { Class::Needed };
    let mut queue = service.queue.lock();
    let wait = if queue.len() < MIN_BACKLOG {
        Duration::ZERO
    } else {
        let ticket = queue.ticket_of(flow(query), class, query.priority(), latest);
        queue.predicted_wait(&ticket)
    };
    (wait, latest.saturating_duration_since(now))
}

/// The shards of a request wait as long as its response can be completed; giving up sooner would waste the work of those
/// that have responded.
fn bounds(query: &Query) -> Bounds {
    let now = Instant::now();
    let left = query.hard_deadline.saturating_duration_since(now);
    let hard = if query.has_shards() { query.hard_deadline } else { now + left / MAX_WAIT_DIVISOR };
    Bounds { soft: query.soft_deadline, hard, cost: query.route().latency.lock().median() }
}
