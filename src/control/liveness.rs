//! Which entry hosts have stopped polling and which targets are no longer renewed, as the leader sees it.

use std::collections::{BTreeMap, HashMap};

use crate::wire::control::Heard;

/// How long the leader waits until it proposes a removal again.
const REMOVAL_RETRY_MS: u64 = 1_000;

/// How long a process is remembered that the configuration does not show yet.
const UNKNOWN_RETENTION_MS: u64 = 3_000;

/// When each entry host was last last_seen_ms from. An entry host that is seen for the first time counts as last_seen_ms from.
#[derive(Default)]
pub struct Liveness {
    last_seen_ms: HashMap<Heard, u64>,
    removal_proposed_ms: HashMap<Heard, u64>,
}

impl Liveness {
    /// Starts anew: silence counts from the next look.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Notes that an entry host polled.
    pub fn record(&mut self, process: Heard, now_ms: u64) {
        self.last_seen_ms.insert(process, now_ms);
    }

    /// Which of these processes are to be removed now. Each comes with the silence that it is allowed, in milliseconds.
    pub fn expired(&mut self, now_ms: u64, expiries: BTreeMap<Heard, u64>) -> Vec<Heard> {
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
