//! Expiry of processes that send no heartbeats, as the leader sees it: entry hosts that stopped polling, and targets
//! whose announcements are no longer renewed.

use std::collections::{BTreeMap, HashMap};

use crate::wire::control::ProcessId;

/// Interval after which the removal of a process is proposed again if it has not been applied.
const REMOVAL_RETRY_MS: u64 = 1_000;

/// How long the heartbeat of a process is kept that is not in the configuration (yet).
const UNKNOWN_RETENTION_MS: u64 = 3_000;

/// The time of the last heartbeat of each process. A process without one counts as alive from the first check on.
#[derive(Default)]
pub struct Liveness {
    last_seen_ms: HashMap<ProcessId, u64>,
    removal_proposed_ms: HashMap<ProcessId, u64>,
}

impl Liveness {
    /// Forgets all heartbeats, so that each expiry starts again at the next check.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Records a heartbeat.
    pub fn record(&mut self, process: ProcessId, now_ms: u64) {
        self.last_seen_ms.insert(process, now_ms);
    }

    /// The time without a heartbeat, in milliseconds. None for a process that is not followed.
    pub fn silent_ms(&self, process: &ProcessId, now_ms: u64) -> Option<u64> {
        Some(now_ms.saturating_sub(*self.last_seen_ms.get(process)?))
    }

    /// Returns the processes whose removal must be proposed now. `expiries` has all processes of the configuration,
    /// each with the time in milliseconds after which it expires without a heartbeat.
    pub fn expired(&mut self, now_ms: u64, expiries: BTreeMap<ProcessId, u64>) -> Vec<ProcessId> {
        self.last_seen_ms
            .retain(|it, at| expiries.contains_key(it) || *at + UNKNOWN_RETENTION_MS > now_ms);
        self.removal_proposed_ms.retain(|_, at| *at + REMOVAL_RETRY_MS > now_ms);
        let mut expired = Vec::new();
        for (process, expiry_ms) in expiries {
            let last = *self.last_seen_ms.entry(process.clone()).or_insert(now_ms);
            if last + expiry_ms <= now_ms && !self.removal_proposed_ms.contains_key(&process) {
                self.removal_proposed_ms.insert(process.clone(), now_ms);
                expired.push(process);
            }
        }
        expired
    }
}
