//! Canary requests and crashes: one exchange per fingerprint at a time, and no second one at a target that crashed.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::OwnedMutexGuard;

use crate::{
    error::Kind,
    state::{QUARANTINE_MS, QUARANTINE_TARGETS, View},
};

/// The right to run the canary request of a fingerprint; dropping it lets the next one go.
pub(super) type CanaryPermit = OwnedMutexGuard<()>;

/// The canary requests of this owner.
#[derive(Default)]
pub(super) struct CanaryTracker {
    locks: Mutex<HashMap<u64, Arc<tokio::sync::Mutex<()>>>>,
    crashes: Mutex<HashMap<u64, Crash>>,
}

/// What this owner saw itself; the configuration shows it a little later.
struct Crash {
    targets: BTreeSet<String>,
    until: Instant,
}

impl CanaryTracker {
    /// Waits for the turn of a fingerprint.
    pub async fn acquire(&self, fingerprint: u64) -> CanaryPermit {
        let lock = self.locks.lock().entry(fingerprint).or_default().clone();
        lock.lock_owned().await
    }

    /// Records a crash before the control hosts have it.
    pub fn record_crash(&self, fingerprint: u64, target: &str, now: Instant) {
        let until = now + Duration::from_millis(QUARANTINE_MS);
        let mut crashes = self.crashes.lock();
        let crash = crashes.entry(fingerprint).or_insert(Crash { targets: BTreeSet::new(), until });
        crash.until = until;
        crash.targets.insert(target.to_owned());
    }

    /// Rejects a quarantined fingerprint.
    pub fn check_quarantine(&self, view: &View, fingerprint: u64) -> Result<(), Kind> {
        let crashes = self.crashes.lock();
        let seen = crashes.get(&fingerprint).map_or(0, |it| it.targets.len());
        if seen >= QUARANTINE_TARGETS || view.quarantined(fingerprint) {
            return Err(Kind::Quarantined);
        }
        Ok(())
    }

    /// Rejects a quarantined fingerprint, and one that crashed this target.
    pub fn check_target(&self, view: &View, fingerprint: u64, target: &str) -> Result<(), Kind> {
        self.check_quarantine(view, fingerprint)?;
        let crashes = self.crashes.lock();
        let seen = crashes.get(&fingerprint).is_some_and(|it| it.targets.contains(target));
        if seen || view.suspected(fingerprint, target) {
            return Err(Kind::NoTarget);
        }
        Ok(())
    }

    /// Forgets fingerprints without a canary request and crashes that are too old.
    pub fn prune(&self, now: Instant) {
        self.locks.lock().retain(|_, it| Arc::strong_count(it) > 1);
        self.crashes.lock().retain(|_, it| it.until > now);
    }
}
