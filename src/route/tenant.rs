//! Tenants: callers with keys of their own, and the lookup of a tenant by key.

use std::{collections::HashMap, fmt};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::route::Table;

/// The number of bytes of a digest.
const DIGEST_BYTES: usize = 32;

/// The SHA-256 digest of a key. Keys are random texts, so that a digest cannot be traced back by trying likely ones.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// The digest of a key.
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Shows nothing of the digest: logs and messages contain neither keys nor their digests.
impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A caller with its own keys, regions, priority and request limit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    /// The name, which targets are told. Unique in a table.
    pub name: String,
    /// The digests of the keys. No other tenant of the table has one of them.
    pub keys: Vec<KeyDigest>,
    /// The priority of its requests, in place of that of their route; 0 is the highest.
    pub priority: Option<u32>,
    /// The regions whose targets and relays may serve its requests; all if empty. Those of a route bind as well.
    pub homes: Vec<String>,
    /// The limit of its requests, in thousandths of a request per second; 0 if there is no limit.
    pub rate_millis: u64,
    /// How many requests it may send at once after a quiet period.
    pub burst: u64,
}

/// Index of a tenant in the [`Tenants`] of one table. It says nothing about another table; names do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantKey(u32);

/// The tenants of a table, by key and by name.
#[derive(Clone, Debug, Default)]
pub struct Tenants {
    list: Vec<Tenant>,
    by_digest: HashMap<KeyDigest, TenantKey>,
    by_name: HashMap<Box<str>, TenantKey>,
}

impl Tenants {
    /// Builds the lookup of a table.
    pub fn new(table: &Table) -> Self {
        let list = table.tenants.clone();
        let keys = || (0..).map(TenantKey).zip(&list);
        let digests = keys().flat_map(|(key, it)| it.keys.iter().map(move |it| (*it, key)));
        let by_digest = digests.collect();
        let by_name = keys().map(|(key, it)| (it.name.as_str().into(), key)).collect();
        Self { list, by_digest, by_name }
    }

    /// Whether the table has no tenants, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// The number of tenants.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// The tenant that holds a key.
    pub fn find(&self, digest: &KeyDigest) -> Option<TenantKey> {
        self.by_digest.get(digest).copied()
    }

    /// The tenant with a name.
    pub fn find_name(&self, name: &str) -> Option<TenantKey> {
        self.by_name.get(name).copied()
    }

    /// The tenant of a key that these tenants have returned.
    pub fn get(&self, key: TenantKey) -> &Tenant {
        &self.list[key.0 as usize]
    }
}
