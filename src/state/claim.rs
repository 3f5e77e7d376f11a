//! Claims of non-idempotent requests.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Kind, Outcome},
    state::Reply,
};

/// How long a claim is kept; a key that was issued longer ago is rejected.
pub const KEY_LIFETIME_MS: u64 = 3_600_000;

/// How far the issue time of a key may lie ahead of the control log's clock.
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// A claim of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The caller's idempotency key, scoped by the caller's name.
    pub key: String,
    /// Fingerprint of the request, so that a reused key is noticed.
    pub fingerprint: u64,
    /// When the caller issued the key, in milliseconds since the Unix epoch.
    pub issued_at_ms: u64,
    /// Random number of the attempt that claims.
    pub nonce: u64,
    /// The entry host that claims.
    pub node: String,
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// Whether the request ran.
    pub outcome: Outcome,
    /// The result of a request that is done.
    pub result: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ClaimRecord {
    claim: Claim,
    settlement: Option<Settlement>,
}

/// All claims that are still kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    records: BTreeMap<String, ClaimRecord>,
}

impl Claims {
    /// Grants the claim unless its key was claimed before.
    pub fn claim(&mut self, claim: &Claim, now_ms: u64) -> Result<Reply, Error> {
        if claim.issued_at_ms.saturating_add(KEY_LIFETIME_MS) <= now_ms {
            return Err(Error::new(Kind::KeyExpired, "the key was issued too long ago"));
        }
        if claim.issued_at_ms > now_ms.saturating_add(MAX_CLOCK_SKEW_MS) {
            return Err(Error::new(Kind::BadRequest, "the key's issue time lies in the future"));
        }
        if let Some(record) = self.records.get(&claim.key) {
            if record.claim.fingerprint != claim.fingerprint
                || record.claim.issued_at_ms != claim.issued_at_ms
            {
                return Err(Error::new(Kind::KeyReused, "the key belongs to another request"));
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

    /// Records how the claim with this nonce ended; the first settlement of a claim stays.
    pub fn settle(&mut self, key: &str, nonce: u64, settlement: &Settlement) -> Result<(), Error> {
        let Some(record) = self.records.get_mut(key) else {
            return Err(Error::new(Kind::NotFound, "there is no such claim"));
        };
        if record.claim.nonce != nonce {
            return Err(Error::new(Kind::Conflict, "another attempt holds the claim"));
        }
        record.settlement.get_or_insert_with(|| settlement.clone());
        Ok(())
    }

    /// Drops the claims whose keys would be rejected by now.
    pub fn expire(&mut self, now_ms: u64) {
        self.records.retain(|_, it| it.claim.issued_at_ms.saturating_add(KEY_LIFETIME_MS) > now_ms);
    }

    /// The number of claims kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
