//! Canary requests: a request that is not known to be harmless goes to one target first.

use std::{cmp::Reverse, num::NonZeroUsize};

use lru::LruCache;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::state::TargetKey;

/// How many harmless requests an entry host remembers.
pub const KNOWN_GOOD_CAPACITY: NonZeroUsize = NonZeroUsize::new(8_192).expect("not zero");

/// The fingerprint of a request. The length of each part is hashed too, so that parts cannot run into each other.
pub fn fingerprint(group: &str, kind: &str, text: &str) -> u64 {
    let mut hash = Xxh3::new();
    for part in [group, kind, text] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.digest()
}

/// The fingerprints that a target has answered without a crash, the most recently used ones.
#[derive(Debug)]
pub struct KnownGood {
    fingerprints: LruCache<u64, ()>,
}

impl Default for KnownGood {
    fn default() -> Self {
        Self { fingerprints: LruCache::new(KNOWN_GOOD_CAPACITY) }
    }
}

impl KnownGood {
    /// Whether the request needs no canary.
    pub fn contains(&mut self, fingerprint: u64) -> bool {
        self.fingerprints.get(&fingerprint).is_some()
    }

    /// Records that a target answered the request.
    pub fn insert(&mut self, fingerprint: u64) {
        self.fingerprints.put(fingerprint, ());
    }

    /// Records that the request is under suspicion.
    pub fn remove(&mut self, fingerprint: u64) {
        self.fingerprints.pop(&fingerprint);
    }
}

/// The targets in the order in which they may run the canary. All entry hosts compute the same order if they pass the
/// same candidates, so local knowledge such as recent failures does not belong into them.
pub fn target_order<'a>(
    fingerprint: u64,
    candidates: impl IntoIterator<Item = (TargetKey, &'a str)>,
) -> Vec<TargetKey> {
    let weigh = |(key, name): (TargetKey, &'a str)| {
        (Reverse(xxh3_64_with_seed(name.as_bytes(), fingerprint)), name, key)
    };
    let mut weighed: Vec<_> = candidates.into_iter().map(weigh).collect();
    weighed.sort_unstable();
    weighed.into_iter().map(|(_, _, key)| key).collect()
}
