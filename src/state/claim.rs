//! Claims of non-idempotent requests, which make each of them run at most once.
//!
//! An entry host claims a request under the caller's idempotency key before it sends the request to a target, and
//! records the outcome afterwards. A repeated request with the same key gets the recorded outcome. It may run again
//! only if the recorded outcome is `NotRun`; without a recorded outcome it may have run, so the answer is `Unknown`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Kind, Outcome},
    state::Reply,
};

/// How long after its issue a key is valid. Claims are kept for the same time, so that a key cannot run again after its
/// claim was removed.
pub const KEY_LIFETIME_MS: u64 = 3_600_000;

/// How far the caller's clock may be ahead of the log's clock when it issues a key.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// A claim of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The caller's idempotency key, prefixed with the caller's name.
    pub key: String,
    /// Fingerprint of the request, which detects a key that is reused for another request.
    pub fingerprint: u64,
    /// When the caller issued the key, in milliseconds since the Unix epoch.
    pub issued_at_ms: u64,
    /// Random number that identifies the attempt.
    pub nonce: u64,
    /// Name of the entry host that makes the attempt.
    pub node: String,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Result of a request with the outcome `Done`.
    pub result: Option<String>,
}

/// A granted claim and its settlement, once recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    claim: Claim,
    settlement: Option<Settlement>,
}

/// The claims whose keys are still valid, by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    records: BTreeMap<String, ClaimRecord>,
}

impl Claims {
    /// Grants the claim if its key is new or the last attempt did not run. The attempt that holds the key is granted it
    /// again while it is not settled. Rejects keys that have expired, lie in the future or belong to another request.
    pub fn claim(&mut self, claim: &Claim, now_ms: u64) -> Result<Reply, Error> {
        if claim.issued_at_ms.saturating_add(KEY_LIFETIME_MS) <= now_ms {
            return Err(Error::new(Kind::KeyExpired, "the idempotency key has expired"));
        }
        if claim.issued_at_ms > now_ms.saturating_add(MAX_CLOCK_SKEW_MS) {
            return Err(Error::new(Kind::BadRequest, "the key's issue time is in the future"));
        }
        if let Some(record) = self.records.get(&claim.key) {
            if record.claim.fingerprint != claim.fingerprint
                || record.claim.issued_at_ms != claim.issued_at_ms
            {
                return Err(Error::new(
                    Kind::KeyReused,
                    "the idempotency key was used for another request",
                ));
            }
            match &record.settlement {
                Some(it) if it.outcome == Outcome::NotRun => {}
                Some(it) => {
                    return Ok(Reply::Claimed { outcome: it.outcome, result: it.result.clone() });
                }
                None if record.claim.nonce == claim.nonce => return Ok(Reply::Granted),
                None => return Ok(Reply::Claimed { outcome: Outcome::Unknown, result: None }),
            }
        }
        let record = ClaimRecord { claim: claim.clone(), settlement: None };
        self.records.insert(claim.key.clone(), record);
        Ok(Reply::Granted)
    }

    /// Records how the attempt with this nonce ended. Later settlements of the same attempt are ignored.
    pub fn settle(&mut self, key: &str, nonce: u64, settlement: &Settlement) -> Result<(), Error> {
        let Some(record) = self.records.get_mut(key) else {
            return Err(Error::new(Kind::NotFound, "no claim has this idempotency key"));
        };
        if record.claim.nonce != nonce {
            return Err(Error::new(Kind::Conflict, "another attempt holds the claim of this key"));
        }
        record.settlement.get_or_insert_with(|| settlement.clone());
        Ok(())
    }

    /// Removes the claims whose keys have expired.
    pub fn expire(&mut self, now_ms: u64) {
        self.records.retain(|_, it| it.claim.issued_at_ms.saturating_add(KEY_LIFETIME_MS) > now_ms);
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
