//! Which entry hosts have stopped polling, as the leader sees it.

use std::collections::{BTreeSet, HashMap};

use crate::wire::control::Heard;

/// How long the leader waits until it proposes a removal again.
const PROPOSE_AGAIN_MS: u64 = 1_000;

/// When each entry host was last heard from. An entry host that is seen for the first time counts as heard from.
#[derive(Default)]
pub struct Liveness {
    heard: HashMap<Heard, u64>,
    proposed: HashMap<Heard, u64>,
}

impl Liveness {
    /// Starts anew: silence counts from the next look.
    pub fn restart(&mut self) {
        *self = Self::default();
    }

    /// Notes that an entry host polled.
    pub fn hear(&mut self, heard: Heard, now_ms: u64) {
        self.heard.insert(heard, now_ms);
    }

    /// Which of these entry hosts are to be removed now.
    pub fn expired(&mut self, now_ms: u64, expiry_ms: u64, nodes: BTreeSet<Heard>) -> Vec<Heard> {
        self.heard.retain(|it, at| nodes.contains(it) || *at + expiry_ms > now_ms);
        self.proposed.retain(|_, at| *at + PROPOSE_AGAIN_MS > now_ms);
        let mut expired = Vec::new();
        for node in nodes {
            let last = *self.heard.entry(node.clone()).or_insert(now_ms);
            if last + expiry_ms <= now_ms && !self.proposed.contains_key(&node) {
                self.proposed.insert(node.clone(), now_ms);
                expired.push(node);
            }
        }
        expired
    }
}
