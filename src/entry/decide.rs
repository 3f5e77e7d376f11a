//! The state behind the root's decisions: admission, latency history and budgets of each group, known requests.

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

/// The state of one group of targets.
pub(super) struct Group {
    latency: LatencyWindow,
    bounds: DelayBounds,
    hedges: Budget,
    retries: Budget,
}

impl Group {
    /// Records how long a sub-request took.
    pub(super) fn observe(&mut self, latency: Duration, now: Instant) {
        self.latency.record(latency, now);
    }

    /// Counts regular sub-requests, which the budgets are a share of.
    pub(super) fn earn(&mut self, count: usize) {
        self.hedges.earn(count as u64);
        self.retries.earn(count as u64);
    }

    /// The time after which a late sub-request is hedged.
    pub(super) fn hedge_delay(&mut self, now: Instant) -> Duration {
        self.bounds.delay(self.latency.tail(now))
    }

    /// What a sub-request takes, its time in the queue included; zero while too little is known.
    pub(super) fn recent(&mut self, now: Instant) -> Duration {
        self.latency.tail(now).unwrap_or_default()
    }

    /// Whether one more copy may be sent of a sub-request that runs `elapsed` long in `copies` copies.
    pub(super) fn try_hedge(&mut self, copies: u32, elapsed: Duration, now: Instant) -> bool {
        let delay = self.hedge_delay(now);
        hedge::try_hedge(copies, elapsed, delay, &mut self.hedges)
    }

    /// Whether a sub-request that failed this way may be tried again.
    pub(super) fn try_retry(&mut self, query: &mut QueryRetries, kind: Kind) -> bool {
        query.try_retry(kind, &mut self.retries)
    }
}

/// The state behind the root's decisions.
pub(super) struct Policy {
    gate: Arc<AdmissionController>,
    bounds: DelayBounds,
    hedge_percent: u64,
    retry_percent: u64,
    groups: Mutex<HashMap<String, Arc<Mutex<Group>>>>,
    known_good: Mutex<KnownGood>,
}

impl Policy {
    pub(super) fn new(cfg: &settings::Entry) -> Self {
        let cap = Duration::from_millis(cfg.silence_ms);
        Self {
            gate: AdmissionController::new(cfg.max_queries),
            bounds: DelayBounds { cap, ..DelayBounds::default() },
            hedge_percent: cfg.hedge_percent,
            retry_percent: cfg.retry_percent,
            groups: Mutex::default(),
            known_good: Mutex::default(),
        }
    }

    /// The state of a group. Only groups of the configuration may be asked for.
    pub(super) fn group(&self, name: &str) -> Arc<Mutex<Group>> {
        let mut groups = self.groups.lock();
        if let Some(group) = groups.get(name) {
            return group.clone();
        }
        let group = Arc::new(Mutex::new(Group {
            latency: LatencyWindow::new(Instant::now()),
            bounds: self.bounds,
            hedges: Budget::new(self.hedge_percent, HEDGE_BURST),
            retries: Budget::new(self.retry_percent, RETRY_BURST),
        }));
        groups.insert(name.to_owned(), group.clone());
        group
    }

    /// Admits a request of this class.
    pub(super) fn admit(
        &self,
        class: Class,
        wait: Duration,
        left: Duration,
    ) -> Result<Permit, Kind> {
        self.gate.admit(class, wait, left)
    }

    /// Whether a request needs no canary.
    pub(super) fn known_good(&self, fingerprint: u64) -> bool {
        self.known_good.lock().contains(fingerprint)
    }

    /// Records that a target answered the request.
    pub(super) fn good(&self, fingerprint: u64) {
        self.known_good.lock().insert(fingerprint);
    }

    /// Records that the request may have crashed a target.
    pub(super) fn suspect(&self, fingerprint: u64) {
        self.known_good.lock().remove(fingerprint);
    }
}
