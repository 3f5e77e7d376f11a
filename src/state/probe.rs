//! Probes of quarantined requests. A quarantine may be wrong: targets that crash together for another reason have also run
//! what many callers ask for. Since nothing is sent meanwhile, no answer could end it. The control hosts therefore let one
//! entry host at a time send the request once, later after each probe, and an answer withdraws the suspicion.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Kind},
    state::{Config, QUARANTINE_MS, Reply},
};

/// Time from the last crash to the first probe: most crashed targets are back by then.
pub const PROBE_DELAY_MS: u64 = 5_000;

/// The delay after a probe is this many times the delay before it, so that a request that does crash targets gets to few.
const DELAY_FACTOR: u64 = 5;

/// The last probe of a quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Probe {
    /// Time from its grant to the next one.
    delay_ms: u64,
    /// The log's clock when it was granted, in milliseconds since the Unix epoch.
    granted_ms: u64,
}

/// The last probe of each quarantined request, by fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probes {
    probes: BTreeMap<u64, Probe>,
}

impl Probes {
    /// Grants a probe once the delay after the last one and after the last crash has passed.
    pub(super) fn claim(&mut self, fingerprint: u64, config: &Config) -> Result<Reply, Error> {
        let suspect = config.suspects.get(&fingerprint);
        let Some(suspect) = suspect.filter(|_| config.is_quarantined(fingerprint)) else {
            return Err(Error::new(Kind::NotFound, "the request is not quarantined"));
        };
        let last = self.probes.get(&fingerprint);
        let last_crash_ms = suspect.until_ms.saturating_sub(QUARANTINE_MS);
        let after_last = last.map_or(0, |it| it.granted_ms.saturating_add(it.delay_ms));
        let due_ms = after_last.max(last_crash_ms.saturating_add(PROBE_DELAY_MS));
        if config.now_ms < due_ms {
            return Ok(Reply::Deferred { wait_ms: due_ms - config.now_ms });
        }
        let delay_ms = last.map_or(PROBE_DELAY_MS, |it| it.delay_ms).saturating_mul(DELAY_FACTOR);
        self.probes.insert(fingerprint, Probe { delay_ms, granted_ms: config.now_ms });
        Ok(Reply::Granted)
    }

    /// Forgets the last probe of a request that a target has answered.
    pub(super) fn remove(&mut self, fingerprint: u64) {
        self.probes.remove(&fingerprint);
    }

    /// Forgets the probes of requests that are no longer quarantined.
    pub(super) fn retain_quarantined(&mut self, config: &Config) {
        self.probes.retain(|fingerprint, _| config.is_quarantined(*fingerprint));
    }

    /// Whether no probe is remembered.
    pub fn is_empty(&self) -> bool {
        self.probes.is_empty()
    }
}
