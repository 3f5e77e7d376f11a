//! The process of a target as this host sees it.

use std::{
    sync::atomic::{AtomicBool, AtomicU8, Ordering},
    time::{Duration, Instant},
};

use parking_lot::Mutex;

use crate::{
    relay::{
        admission::Admission, choice::TargetStats, cold_start::ColdStartLimiter,
        freshness::Freshness, pool::Pool,
    },
    state,
    wire::control::ProcessId,
};

/// Initial estimates of the round-trip time, before the first connection.
const OWN_REGION_ROUND_TRIP: Duration = Duration::from_millis(1);
const OTHER_REGION_ROUND_TRIP: Duration = Duration::from_millis(16);

/// The process of a target, with its connections, statistics and limits.
pub(super) struct Target {
    pub(super) name: String,
    pub(super) incarnation: u64,
    pub(super) zone: String,
    pub(super) region: String,
    /// Whether the target is in this host's region.
    pub(super) is_near: bool,
    pub(super) slots: u32,
    pub(super) pool: Pool,
    pub(super) stats: Mutex<TargetStats>,
    pub(super) cold_start: Mutex<ColdStartLimiter>,
    usable: AtomicBool,
    /// An [`Admission`].
    admission: AtomicU8,
    cold: AtomicBool,
    /// Since when it may get no new sub-requests.
    unusable_since: Mutex<Instant>,
    /// Whether the target has said that it is leaving.
    retired: AtomicBool,
    /// Until when the target wants no requests from this host.
    paused_until: Mutex<Option<Instant>>,
}

impl Target {
    pub(super) fn new(target: &state::Target, region: &str, own_region: &str) -> Self {
        let is_near = region == own_region;
        let round_trip = if is_near { OWN_REGION_ROUND_TRIP } else { OTHER_REGION_ROUND_TRIP };
        Self {
            name: target.name.clone(),
            incarnation: target.incarnation,
            zone: target.zone.clone(),
            region: region.to_owned(),
            is_near,
            slots: target.slots,
            pool: Pool::new(target.addr, round_trip),
            stats: Mutex::new(TargetStats::new(Instant::now())),
            cold_start: Mutex::default(),
            usable: AtomicBool::new(false),
            admission: AtomicU8::new(Admission::Open as u8),
            cold: AtomicBool::new(false),
            unusable_since: Mutex::new(Instant::now()),
            retired: AtomicBool::new(false),
            paused_until: Mutex::default(),
        }
    }

    pub(super) fn process(&self) -> ProcessId {
        ProcessId { process_name: self.name.clone(), incarnation: self.incarnation }
    }

    /// Whether the target may get new sub-requests, at the latest when its pause is over.
    pub(super) fn is_usable(&self) -> bool {
        self.usable.load(Ordering::Relaxed) && !self.is_retired()
    }

    /// Since when the target may get no new sub-requests; none if it may.
    pub(super) fn unusable_since(&self) -> Option<Instant> {
        (!self.is_usable()).then(|| *self.unusable_since.lock())
    }

    /// Whether the target has said that it is leaving.
    pub(super) fn is_retired(&self) -> bool {
        self.retired.load(Ordering::Relaxed)
    }

    /// Records that the target is leaving, for as long as its process exists: whatever the configuration says, it gets no
    /// new sub-requests.
    pub(super) fn retire(&self) {
        let was_usable = self.is_usable();
        let is_new = !self.retired.swap(true, Ordering::Relaxed);
        if was_usable {
            *self.unusable_since.lock() = Instant::now();
        }
        if is_new {
            self.pool.invalidate();
        }
    }

    /// Sends nothing to the target until then. A pause is never shortened.
    pub(super) fn pause(&self, until: Instant) {
        let mut paused_until = self.paused_until.lock();
        *paused_until = (*paused_until).max(Some(until));
    }

    /// When the target's pause is over; none if it is not paused.
    pub(super) fn paused_until(&self, now: Instant) -> Option<Instant> {
        self.paused_until.lock().filter(|it| *it > now)
    }

    /// Allows or forbids new sub-requests. Forbidding them also closes idle connections, and those in use once
    /// they become idle.
    pub(super) fn set_usable(&self, usable: bool) {
        if self.usable.swap(usable, Ordering::Relaxed) && !usable {
            if !self.is_retired() {
                *self.unusable_since.lock() = Instant::now();
            }
            self.pool.invalidate();
        }
    }

    /// Whether the target is in its cold start.
    pub(super) fn is_cold(&self) -> bool {
        self.cold.load(Ordering::Relaxed)
    }

    /// Records whether the target is in its cold start.
    pub(super) fn set_cold(&self, cold: bool) {
        self.cold.store(cold, Ordering::Relaxed);
    }

    /// Which sub-requests a rollout of the service allows to the target now.
    pub(super) fn admission(&self) -> Admission {
        Admission::from_repr(self.admission.load(Ordering::Relaxed)).unwrap_or(Admission::Closed)
    }

    /// Changes the admission, also for sub-requests that have chosen the target and are not sent yet.
    pub(super) fn set_admission(&self, admission: Admission) {
        self.admission.store(admission as u8, Ordering::Relaxed);
    }

    /// Whether a sub-request that has chosen the target may still be sent. The answer holds for this moment only: the
    /// stage of a rollout changes, and a process that stood still has lost its lease.
    pub(super) fn is_admitted(&self, freshness: &Freshness) -> bool {
        match self.admission() {
            Admission::Open | Admission::Old => true,
            Admission::New | Admission::Final => freshness.has_lease(),
            Admission::Closed => false,
        }
    }
}
