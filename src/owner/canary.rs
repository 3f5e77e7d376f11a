//! Canary requests: a fingerprint that is not known to be safe runs in one exchange at a time, and not again at a
//! target that crashed while running it. This bounds how many targets a request that crashes them can take down.

use std::{
    collections::{BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use parking_lot::Mutex;
use tokio::sync::OwnedMutexGuard;

use crate::{
    error::Kind,
    state::{QUARANTINE_MIN_TARGETS, QUARANTINE_MS, View},
};

/// The exclusive right to run a canary request of one fingerprint; dropping it admits the next one.
pub(super) type CanaryPermit = OwnedMutexGuard<()>;

/// The canary requests in progress at this owner and the crashes that it has seen.
#[derive(Default)]
pub(super) struct CanaryTracker {
    locks: Mutex<HashMap<u64, Arc<tokio::sync::Mutex<()>>>>,
    crashes: Mutex<HashMap<u64, Crash>>,
}

/// Crashes that this owner saw for one fingerprint. They count here at once; the view shows them only after they are
/// committed and polled.
struct Crash {
    targets: BTreeSet<String>,
    until: Instant,
}

impl CanaryTracker {
    /// Waits until no other canary request with this fingerprint runs here.
    pub async fn acquire(&self, fingerprint: u64) -> CanaryPermit {
        let lock = self.locks.lock().entry(fingerprint).or_default().clone();
        lock.lock_owned().await
    }

    /// Records a crash locally, before it is committed by the control hosts.
    pub fn record_crash(&self, fingerprint: u64, target: &str, now: Instant) {
        let until = now + Duration::from_millis(QUARANTINE_MS);
        let mut crashes = self.crashes.lock();
        let crash = crashes.entry(fingerprint).or_insert(Crash { targets: BTreeSet::new(), until });
        crash.until = until;
        crash.targets.insert(target.to_owned());
    }

    /// Fails with [`Kind::Quarantined`] if the fingerprint is quarantined.
    pub fn check_quarantine(&self, view: &View, fingerprint: u64) -> Result<(), Kind> {
        let crashes = self.crashes.lock();
        let seen = crashes.get(&fingerprint).map_or(0, |it| it.targets.len());
        if seen >= QUARANTINE_MIN_TARGETS || view.is_quarantined(fingerprint) {
            return Err(Kind::Quarantined);
        }
        Ok(())
    }

    /// Fails with [`Kind::Quarantined`] if the fingerprint is quarantined, and with [`Kind::NoTarget`] if it crashed
    /// this target.
    pub fn check_target(&self, view: &View, fingerprint: u64, target: &str) -> Result<(), Kind> {
        self.check_quarantine(view, fingerprint)?;
        let crashes = self.crashes.lock();
        let seen = crashes.get(&fingerprint).is_some_and(|it| it.targets.contains(target));
        if seen || view.has_crashed_target(fingerprint, target) {
            return Err(Kind::NoTarget);
        }
        Ok(())
    }

    /// Removes locks that nobody holds or awaits, and crashes whose quarantine has ended.
    pub fn prune(&self, now: Instant) {
        self.locks.lock().retain(|_, it| Arc::strong_count(it) > 1);
        self.crashes.lock().retain(|_, it| it.until > now);
    }
}
