//! Routes: which requests go to which services, and how. A table of routes is replaced as a whole under its own number.

mod check;
mod index;
mod patch;

pub use check::Problem;
pub use index::Index;
pub use patch::Patch;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// One whole, in the parts that shares and weights are counted in.
pub const PPM_SCALE: u64 = 1_000_000;

/// All routes in force together, as the operator sent them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The operator's number; larger is newer.
    pub version: u64,
    /// What the operator sent, for reading it back. Entry hosts get none.
    pub document: String,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// What callers may send.
    pub limits: Limits,
}

/// Where requests with one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The start of the path; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a request may wait for its answer, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer has its full worth, in milliseconds.
    pub objective_ms: u64,
    /// The rank among routes; 0 is the most urgent.
    pub priority: u32,
    /// How many targets of one service may run one request.
    pub max_attempts: u32,
    /// The regions that may serve requests; all if empty.
    pub homes: Vec<String>,
    /// The services.
    pub to: To,
}

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request runs once at most.
    AtMostOnce,
}

/// The services that a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum To {
    /// One service.
    Service(String),
    /// One of several services, by weight.
    Split(Vec<Part>),
    /// All of these services; their records are merged.
    Shards(Shards),
}

/// One part of a split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: String,
    /// Its weight, in parts of [`PPM_SCALE`].
    pub weight: u64,
}

/// A query over several services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shards {
    /// One service for each shard.
    pub services: Vec<String>,
    /// How many of the greatest records are returned.
    pub top: usize,
    /// The share of shards that an answer must cover, in parts of [`PPM_SCALE`].
    pub min_coverage: u64,
}

impl Shards {
    /// The smallest number of shards that is enough for an answer.
    pub fn min_shards(&self) -> usize {
        let total = self.services.len() as u64;
        let shards = (self.min_coverage * total).div_ceil(PPM_SCALE);
        usize::try_from(shards.clamp(1, total.max(1))).unwrap_or(usize::MAX)
    }
}

/// A service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// How many connections each of its targets accepts from all hosts together.
    pub max_connections: u32,
    /// How many requests a cold target bears, in thousandths per second; no limit is known if 0.
    pub cold_millis_per_s: u64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The longest header section, in bytes.
    pub header_bytes: u64,
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// The longest time for a header section, in milliseconds.
    pub header_ms: u64,
    /// How long a connection may be idle, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 256 << 10, header_ms: 3_000, idle_ms: 15_000 }
    }
}

impl Table {
    /// The table without what only operators need.
    pub fn without_document(&self) -> Self {
        Self { document: String::new(), ..self.clone() }
    }
}

impl Route {
    /// The names of all services that the route leads to.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let (one, split, shards) = match &self.to {
            To::Service(it) => (Some(it), None, None),
            To::Split(it) => (None, Some(it), None),
            To::Shards(it) => (None, None, Some(&it.services)),
        };
        let split = split.into_iter().flatten().map(|it| &it.service);
        one.into_iter().chain(split).chain(shards.into_iter().flatten()).map(String::as_str)
    }
}
