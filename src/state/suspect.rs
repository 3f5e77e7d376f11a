//! Quarantine of requests that crash targets.
//!
//! When a target crashes while it runs a request, the request becomes a suspect. After crashes of
//! [`QUARANTINE_MIN_TARGETS`] different targets it is quarantined: it is refused until [`QUARANTINE_MS`] have passed
//! since the last crash.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::state::Config;

/// How long after its last crash a request remains a suspect, and in quarantine if it is quarantined.
pub const QUARANTINE_MS: u64 = 600_000;

/// A further crash of a target that is recorded already extends the record by at least this much, or not at all. Relays
/// report a crash again until they get a reply, and each report that alters the record is a revision that all hosts fetch.
const MIN_EXTENSION_MS: u64 = 10_000;

/// Number of different crashed targets at which a request is quarantined.
pub const QUARANTINE_MIN_TARGETS: usize = 2;

/// A request that crashed at least one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Names of the targets that crashed while they ran it.
    pub targets: BTreeSet<String>,
    /// When the record expires, in milliseconds of the log's clock.
    pub until_ms: u64,
}

impl Config {
    /// Fingerprints of the quarantined requests, in ascending order.
    pub fn quarantined_fingerprints(&self) -> impl Iterator<Item = u64> {
        self.suspects.keys().copied().filter(|&it| self.is_quarantined(it))
    }

    /// Whether the request with this fingerprint is quarantined. Expired suspects count until the next
    /// [`Change::Tick`](crate::state::Change::Tick) removes them.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|it| it.targets.len() >= QUARANTINE_MIN_TARGETS)
    }

    /// Removes expired suspects. Returns whether there were any.
    pub(super) fn expire_suspects(&mut self) -> bool {
        let before = self.suspects.len();
        self.suspects.retain(|_, it| it.until_ms > self.now_ms);
        self.suspects.len() < before
    }

    /// Records that a target crashed while it ran a request, and extends the record's expiry. Returns whether this
    /// altered the record: copies get only changes that did, and an expiry that they do not know would end the suspicion
    /// at another time there.
    pub(super) fn record_crash(&mut self, fingerprint: u64, target: &str) -> bool {
        let until_ms = self.now_ms + QUARANTINE_MS;
        let new_suspect = Suspect { targets: BTreeSet::new(), until_ms };
        let suspect = self.suspects.entry(fingerprint).or_insert(new_suspect);
        let is_new = suspect.targets.insert(target.to_owned());
        let is_altered = is_new || until_ms >= suspect.until_ms + MIN_EXTENSION_MS;
        if is_altered {
            suspect.until_ms = until_ms;
        }
        is_altered
    }
}
