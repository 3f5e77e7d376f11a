//! Canary requests: an entry host sends a request that it has not seen succeed to a single target first. A request that
//! crashes targets thus crashes a few of them instead of one of each shard.

use std::{cmp::Reverse, num::NonZeroUsize};

use lru::LruCache;
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed};

use crate::state::TargetKey;

/// The number of fingerprints that [`KnownGood`] holds.
pub const KNOWN_GOOD_CAPACITY: NonZeroUsize = NonZeroUsize::new(8_192).expect("not zero");

/// Hashes a request. Each part is prefixed with its length, so that ("ab", "c") and ("a", "bc") differ.
pub fn fingerprint(group: &str, kind: &str, text: &str) -> u64 {
    let mut hash = Xxh3::new();
    for part in [group, kind, text] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part.as_bytes());
    }
    hash.digest()
}

/// An LRU cache of the fingerprints of requests that a target has answered without a crash.
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
    /// Whether the request can skip the canary phase. Marks it as recently used.
    pub fn contains(&mut self, fingerprint: u64) -> bool {
        self.fingerprints.get(&fingerprint).is_some()
    }

    /// Records that a target answered the request.
    pub fn insert(&mut self, fingerprint: u64) {
        self.fingerprints.put(fingerprint, ());
    }

    /// Records that the request may have crashed a target.
    pub fn remove(&mut self, fingerprint: u64) {
        self.fingerprints.pop(&fingerprint);
    }
}

/// Orders targets for the canary phase by rendezvous hashing, with the fingerprint as the seed.
///
/// Entry hosts that pass the same candidates get the same order, so canaries of one request reach the same few targets
/// from every host. Candidates must therefore not be filtered by local state such as recent failures.
pub fn target_order<'a>(
    fingerprint: u64,
    candidates: impl IntoIterator<Item = (TargetKey, &'a str)>,
) -> Vec<TargetKey> {
    let rank = |(key, name): (TargetKey, &'a str)| {
        (Reverse(xxh3_64_with_seed(name.as_bytes(), fingerprint)), name, key)
    };
    let mut ranked: Vec<_> = candidates.into_iter().map(rank).collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, key)| key).collect()
}
