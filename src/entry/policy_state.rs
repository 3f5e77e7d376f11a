//! State that the root of a query uses to admit, hedge and retry: admission limits, the latency history and budgets of
//! each group, and the requests that need no canary.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{
    error::Kind,
    policy::{
        admit::{AdmissionController, Permit},
        budget::{Budget, HEDGE_BURST, QueryRetries, RETRY_BURST},
        canary::KnownGood,
        hedge::{self, DelayBounds},
        latency::LatencyWindow,
    },
    settings,
    wire::owner::Class,
};

/// The latency history and the hedge and retry budgets of one group of targets.
pub(super) struct GroupPolicy {
    latency: LatencyWindow,
    bounds: DelayBounds,
    hedges: Budget,
    retries: Budget,
}

impl GroupPolicy {
    pub(super) fn record_latency(&mut self, latency: Duration, now: Instant) {
        self.latency.record(latency, now);
    }

    /// Adds the share of `count` regular sub-requests to the hedge and retry budgets.
    pub(super) fn add_budget(&mut self, count: usize) {
        self.hedges.earn(count as u64);
        self.retries.earn(count as u64);
    }

    /// How long after its start a sub-request is hedged.
    pub(super) fn hedge_delay(&mut self, now: Instant) -> Duration {
        self.bounds.delay(self.latency.tail(now))
    }

    /// The 98th percentile of recent sub-request times, including queueing. Zero while there are too few samples.
    pub(super) fn tail_latency(&mut self, now: Instant) -> Duration {
        self.latency.tail(now).unwrap_or_default()
    }

    /// Whether another copy of a sub-request may be sent: it was sent `elapsed` ago and `copies` copies of it are
    /// running. Takes a token from the hedge budget if so.
    pub(super) fn try_hedge(&mut self, copies: u32, elapsed: Duration, now: Instant) -> bool {
        let delay = self.hedge_delay(now);
        hedge::try_hedge(copies, elapsed, delay, &mut self.hedges)
    }

    /// Whether a sub-request that failed with `kind` may be sent to another replica. Counts the retry if so.
    pub(super) fn try_retry(&mut self, query: &mut QueryRetries, kind: Kind) -> bool {
        query.try_retry(kind, &mut self.retries)
    }
}

/// Admission, per-group budgets and known-good requests of this host.
pub(super) struct PolicyState {
    admission: Arc<AdmissionController>,
    bounds: DelayBounds,
    hedge_percent: u64,
    retry_percent: u64,
    groups: Mutex<HashMap<String, Arc<Mutex<GroupPolicy>>>>,
    known_good: Mutex<KnownGood>,
}

impl PolicyState {
    pub(super) fn new(cfg: &settings::Entry) -> Self {
        let cap = Duration::from_millis(cfg.silence_ms);
        Self {
            admission: AdmissionController::new(cfg.max_queries),
            bounds: DelayBounds { cap, ..DelayBounds::default() },
            hedge_percent: cfg.hedge_percent,
            retry_percent: cfg.retry_percent,
            groups: Mutex::default(),
            known_good: Mutex::default(),
        }
    }

    /// The state of a group, created on first use. Entries are never removed, so `name` must be a configured group.
    pub(super) fn group(&self, name: &str) -> Arc<Mutex<GroupPolicy>> {
        let mut groups = self.groups.lock();
        if let Some(group) = groups.get(name) {
            return group.clone();
        }
        let group = Arc::new(Mutex::new(GroupPolicy {
            latency: LatencyWindow::new(Instant::now()),
            bounds: self.bounds,
            hedges: Budget::new(self.hedge_percent, HEDGE_BURST),
            retries: Budget::new(self.retry_percent, RETRY_BURST),
        }));
        groups.insert(name.to_owned(), group.clone());
        group
    }

    /// Admits a request of this class. `wait` is the estimated queueing time at the targets, `left` the time until the
    /// deadline.
    pub(super) fn admit(
        &self,
        class: Class,
        wait: Duration,
        left: Duration,
    ) -> Result<Permit, Kind> {
        self.admission.admit(class, wait, left)
    }

    /// Whether a request needs no canary.
    pub(super) fn is_known_good(&self, fingerprint: u64) -> bool {
        self.known_good.lock().contains(fingerprint)
    }

    /// Records that a target answered the request.
    pub(super) fn mark_known_good(&self, fingerprint: u64) {
        self.known_good.lock().insert(fingerprint);
    }

    /// Records that the request may have crashed a target, so that it needs a canary again.
    pub(super) fn clear_known_good(&self, fingerprint: u64) {
        self.known_good.lock().remove(fingerprint);
    }
}
