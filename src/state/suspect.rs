//! Requests under suspicion of crashing the targets that run them, and their quarantine.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::Config;

/// How long a request that crashed targets stays blocked.
pub const QUARANTINE_MS: u64 = 600_000;

/// Crashes at this many different targets block a request.
pub const QUARANTINE_MIN_TARGETS: usize = 2;

/// A request under suspicion of crashing targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The targets that crashed while they ran it.
    pub targets: BTreeSet<String>,
    /// When the suspicion ends, in milliseconds of the control log's clock.
    pub until_ms: u64,
}

impl Config {
    /// The requests that are refused because they have crashed targets, in the order of their fingerprints.
    pub fn quarantined_fingerprints(&self) -> impl Iterator<Item = u64> {
        self.suspects.keys().copied().filter(|&it| self.is_quarantined(it))
    }

    /// Whether a request fingerprint is blocked at this moment of the control log's clock.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|it| it.targets.len() >= QUARANTINE_MIN_TARGETS)
    }

    /// Forgets suspicions that have expired; says whether there were any.
    pub(super) fn expire_suspects(&mut self) -> bool {
        let before = self.suspects.len();
        self.suspects.retain(|_, it| it.until_ms > self.now_ms);
        self.suspects.len() < before
    }

    /// Records that a target crashed while it ran a request; says whether that is new.
    pub(super) fn record_crash(&mut self, fingerprint: u64, target: &str) -> bool {
        let until_ms = self.now_ms + QUARANTINE_MS;
        let fresh = Suspect { targets: BTreeSet::new(), until_ms };
        let suspect = self.suspects.entry(fingerprint).or_insert(fresh);
        suspect.until_ms = until_ms;
        suspect.targets.insert(target.to_owned())
    }
}
