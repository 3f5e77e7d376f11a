//! Which entry hosts have stopped polling, as the leader sees it.

use std::collections::HashMap;

use crate::wire::control::Heard;

/// How long the leader waits until it proposes a removal again.
const PROPOSE_AGAIN_MS: u64 = 1_000;

/// When each entry host was last heard from.
#[derive(Default)]
pub struct Liveness {
    since_ms: u64,
    heard: HashMap<Heard, u64>,
    proposed: HashMap<Heard, u64>,
}

impl Liveness {
    /// Starts anew: silence counts from this moment.
    pub fn restart(&mut self, now_ms: u64) {
        *self = Self { since_ms: now_ms, ..Self::default() };
    }

    /// Notes that an entry host polled.
    pub fn hear(&mut self, heard: Heard, now_ms: u64) {
        self.heard.insert(heard, now_ms);
    }

    /// The entry hosts to be removed now.
    pub fn expired(&mut self, now_ms: u64, expiry_ms: u64, nodes: Vec<Heard>) -> Vec<Heard> {
        let silent = |it: &Heard, heard: &HashMap<Heard, u64>| {
            let last = heard.get(it).copied().unwrap_or_default().max(self.since_ms);
            last + expiry_ms <= now_ms
        };
        self.heard.retain(|_, at| *at + 2 * expiry_ms > now_ms);
        self.proposed.retain(|_, at| *at + PROPOSE_AGAIN_MS > now_ms);
        let expired: Vec<_> = nodes
            .into_iter()
            .filter(|it| silent(it, &self.heard) && !self.proposed.contains_key(it))
            .collect();
        self.proposed.extend(expired.iter().map(|it| (it.clone(), now_ms)));
        expired
    }
}
