//! Which entry hosts have stopped polling and which targets are no longer renewed, as the leader sees it.

use std::collections::{BTreeMap, HashMap};

use crate::wire::control::ProcessId;

/// How long the leader waits until it proposes a removal again.
const PROPOSE_AGAIN_MS: u64 = 1_000;

/// How long a process is remembered that the configuration does not show yet.
const UNKNOWN_KEPT_MS: u64 = 3_000;

/// When each entry host was last heard from. An entry host that is seen for the first time counts as heard from.
#[derive(Default)]
pub struct Liveness {
    heard: HashMap<ProcessId, u64>,
    proposed: HashMap<ProcessId, u64>,
}

impl Liveness {
    /// Starts anew: silence counts from the next look.
    pub fn restart(&mut self) {
        *self = Self::default();
    }

    /// Notes that an entry host polled.
    pub fn hear(&mut self, heard: ProcessId, now_ms: u64) {
        self.heard.insert(heard, now_ms);
    }

    /// Which of these processes are to be removed now. Each comes with the silence that it is allowed, in milliseconds.
    pub fn expired(&mut self, now_ms: u64, known: BTreeMap<ProcessId, u64>) -> Vec<ProcessId> {
        self.heard.retain(|it, at| known.contains_key(it) || *at + UNKNOWN_KEPT_MS > now_ms);
        self.proposed.retain(|_, at| *at + PROPOSE_AGAIN_MS > now_ms);
        let mut expired = Vec::new();
        for (node, expiry_ms) in known {
            let last = *self.heard.entry(node.clone()).or_insert(now_ms);
            if last + expiry_ms <= now_ms && !self.proposed.contains_key(&node) {
                self.proposed.insert(node.clone(), now_ms);
                expired.push(node);
            }
        }
        expired
    }
}
