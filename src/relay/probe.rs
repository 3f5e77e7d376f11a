//! Probes of quarantined requests: the control hosts grant one relay at a time the right to send the request once.

use std::{
    num::NonZeroUsize,
    sync::Arc,
    time::{Duration, Instant},
};

use lru::LruCache;
use parking_lot::Mutex;
use rand::RngExt;
use tokio::{sync::Notify, time::timeout_at};

use crate::{
    relay::{
        call::{self, Failure},
        exchange::TargetResponse,
        host::Host,
        quarantine::Held,
        request::Query,
        suspect,
        view::ServiceKey,
    },
    state::{Change, PROBE_DELAY_MS, Reply},
};

/// Number of requests for which a relay remembers its claims; the least recently used one is evicted.
const MAX_TRACKED_REQUESTS: NonZeroUsize = NonZeroUsize::new(1_024).expect("not zero");

/// A claim is submitted later by a random time of up to this much, so that the first relay's probe mostly has ended when
/// the others would claim.
const MAX_JITTER: Duration = Duration::from_millis(1_000);

/// Time after which a claim without a reply counts as lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Time for which a grant is valid, counted from its claim. The control hosts make no further grant in this time.
const GRANT_LIFETIME: Duration = Duration::from_millis(3 * PROBE_DELAY_MS);

/// A request waits for the reply to its claim at most for its remaining time divided by this.
const MAX_WAIT_DIVISOR: u32 = 3;

/// The state of a claim.
#[derive(Clone, Copy)]
enum Claim {
    /// The next one may be submitted at this time.
    Due(Instant),
    /// It was submitted at this time and has got no reply yet.
    Submitted { at: Instant },
    /// It was granted until this time.
    Granted { until: Instant },
}

/// Claims by request fingerprint.
pub(super) struct Probes {
    claims: Mutex<LruCache<u64, Claim>>,
    replied: Notify,
}

impl Default for Probes {
    fn default() -> Self {
        Self { claims: Mutex::new(LruCache::new(MAX_TRACKED_REQUESTS)), replied: Notify::new() }
    }
}

impl Probes {
    /// Records the reply of the control hosts to a claim; none if it could not be submitted.
    pub(super) fn record_reply(&self, fingerprint: u64, reply: Option<&Reply>) {
        let now = Instant::now();
        let mut claims = self.claims.lock();
        let Some(claim) = claims.peek_mut(&fingerprint) else { return };
        let Claim::Submitted { at } = *claim else { return };
        let (next, label, wait) = match reply {
            Some(Reply::Granted) => {
                (Claim::Granted { until: at + GRANT_LIFETIME }, "granted", Duration::ZERO)
            }
            Some(Reply::Deferred { wait_ms }) => {
                let wait = Duration::from_millis(*wait_ms) + jitter();
                (Claim::Due(now + wait), "deferred", wait)
            }
            // The request is no longer quarantined.
            Some(_) => (Claim::Due(now + MAX_JITTER), "refused", MAX_JITTER),
            None => (Claim::Due(now + MAX_JITTER), "no_reply", MAX_JITTER),
        };
        *claim = next;
        drop(claims);
        log::info!(
            "event=probe_claimed fingerprint={fingerprint:016x} reply={label} wait_ms={}",
            wait.as_millis()
        );
        self.replied.notify_waiters();
    }

    /// Time until the next claim, or zero if that is not known.
    pub(super) fn wait(&self, fingerprint: u64) -> Duration {
        match self.claims.lock().peek(&fingerprint) {
            Some(Claim::Due(at)) => at.saturating_duration_since(Instant::now()),
            _ => Duration::ZERO,
        }
    }

    /// Takes the grant of a probe, and returns until when it is valid. The error tells whether a claim is to be submitted
    /// now; none is while the probe could not run.
    fn take_grant(&self, fingerprint: u64, can_run: bool, now: Instant) -> Result<Instant, bool> {
        let mut claims = self.claims.lock();
        let first = || Claim::Due(now + Duration::from_millis(PROBE_DELAY_MS) + jitter());
        let claim = claims.get_or_insert_mut(fingerprint, first);
        match *claim {
            _ if !can_run => Err(false),
            Claim::Granted { until } if now < until => {
                *claim = Claim::Due(until + jitter());
                Ok(until)
            }
            Claim::Due(at) if now < at => Err(false),
            Claim::Submitted { at } if now < at + REPLY_TIMEOUT => Err(false),
            _ => {
                *claim = Claim::Submitted { at: now };
                Err(true)
            }
        }
    }

    fn give_back(&self, fingerprint: u64, until: Instant) {
        self.claims.lock().put(fingerprint, Claim::Granted { until });
    }

    fn is_submitted(&self, fingerprint: u64) -> bool {
        matches!(self.claims.lock().peek(&fingerprint), Some(Claim::Submitted { .. }))
    }
}

fn jitter() -> Duration {
    MAX_JITTER.mul_f64(rand::rng().random_range(0.0..1.0))
}

/// The right to send a probe. It is given back when dropped, unless the probe may have run.
pub(super) struct Permit {
    host: Arc<Host>,
    fingerprint: u64,
    until: Instant,
    may_have_run: bool,
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.may_have_run {
            self.host.probes.give_back(self.fingerprint, self.until);
        }
    }
}

/// Gets the right to send a request as a probe if it is granted already. If not, it may be claimed for a later request.
pub(super) fn try_acquire(host: &Arc<Host>, query: &Query, held: &Held) -> Option<Permit> {
    get_or_claim(host, query, held).ok()
}

/// Like [`try_acquire`], but the request that makes the claim waits for the reply.
pub(super) async fn acquire(host: &Arc<Host>, query: &Query, held: &Held) -> Option<Permit> {
    let now = Instant::now();
    let end = now + query.hard_deadline.saturating_duration_since(now) / MAX_WAIT_DIVISOR;
    match get_or_claim(host, query, held) {
        Ok(permit) => return Some(permit),
        Err(false) => return None,
        Err(true) => {}
    }
    loop {
        let mut replied = std::pin::pin!(host.probes.replied.notified());
        replied.as_mut().enable();
        if !host.probes.is_submitted(held.fingerprint) {
            return get_or_claim(host, query, held).ok();
        }
        timeout_at(end.into(), replied).await.ok()?;
    }
}

/// Gets the right to send a request as a probe. The error tells whether it has been claimed by this call.
fn get_or_claim(host: &Arc<Host>, query: &Query, held: &Held) -> Result<Permit, bool> {
    let fingerprint = held.fingerprint;
    let service = query.view.service(held.key);
    let now = Instant::now();
    let can_run = !service.is_down(now) && service.has_usable_target(query, false);
    match host.probes.take_grant(fingerprint, can_run, now) {
        Ok(until) => {
            log::info!(
                "event=probe_sent request={} fingerprint={fingerprint:016x} service={}",
                query.id(),
                service.name
            );
            Ok(Permit { host: host.clone(), fingerprint, until, may_have_run: false })
        }
        Err(is_due) => {
            if is_due {
                host.reports.push(Change::Probe { fingerprint });
                host.submit_now.notify_one();
            }
            Err(is_due)
        }
    }
}

/// Sends a sub-request, as a probe if there is a permit. A probe goes on if this future is dropped, because its outcome
/// matters to other requests.
pub(super) async fn send_or_call(
    host: &Arc<Host>,
    query: &Arc<Query>,
    key: ServiceKey,
    max_attempts: usize,
    permit: Option<Permit>,
) -> Result<TargetResponse, Failure> {
    let Some(mut permit) = permit else { return call::call(host, query, key, max_attempts).await };
    let (host, query) = (host.clone(), query.clone());
    let task = tokio::spawn(async move { send(&host, &query, key, &mut permit).await });
    match task.await {
        Ok(result) => result,
        Err(_) => Err(Failure::lost()),
    }
}

/// Sends a sub-request as a probe: at most one target runs it.
pub(super) async fn send(
    host: &Arc<Host>,
    query: &Arc<Query>,
    key: ServiceKey,
    permit: &mut Permit,
) -> Result<TargetResponse, Failure> {
    // Holds if this future is dropped before the call ends.
    permit.may_have_run = true;
    let result = call::call(host, query, key, 1).await;
    if let Err(failure) = &result {
        permit.may_have_run = failure.may_have_run;
        log::info!(
            "event=probe_failed request={} fingerprint={:016x} cause={} may_have_run={}",
            query.id(),
            permit.fingerprint,
            failure.cause,
            failure.may_have_run
        );
        if failure.response.is_some() {
            // A target that responds has survived the request.
            suspect::record_answer(host, query, &query.view.service(key).name);
        }
    }
    result
}
