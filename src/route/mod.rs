//! The routing table: which requests go to which services, and how. Operators replace it as a whole; its version number
//! decides which table is the newest.

mod check;
mod document;
mod encoding;
mod index;
mod patch;
mod tenant;

pub use check::TableError;
pub use document::{document_difference, document_digest};
pub use index::Index;
pub use patch::{Patch, TenantPatch};
pub use tenant::{KeyDigest, Tenant, TenantKey, Tenants};

use std::{collections::BTreeMap, fmt};

use serde::{Deserialize, Serialize};

/// The value that represents 1.0: shares and weights are stored as integers in parts per million.
pub const PPM_SCALE: u64 = 1_000_000;

/// A routing table as sent by the operator.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Table {
    /// Assigned by the operator; a table with a higher version replaces one with a lower version.
    pub version: u64,
    /// The original document of the operator, for reading it back. Empty on entry hosts.
    pub document: String,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services by name.
    pub services: BTreeMap<String, Service>,
    /// The limits for requests and connections of callers.
    pub limits: Limits,
    /// The tenants. If there are any, requests need a key of one, except on public routes.
    pub tenants: Vec<Tenant>,
}

/// Leaves out the document, which contains the keys of the tenants.
impl fmt::Debug for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { version, document: _, routes, services, limits, tenants } = self;
        f.debug_struct("Table")
            .field("version", version)
            .field("routes", routes)
            .field("services", services)
            .field("limits", limits)
            .field("tenants", tenants)
            .finish_non_exhaustive()
    }
}

/// How requests with a given host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name of the route, for logs and messages.
    pub name: String,
    /// The host in the callers' requests, without port.
    pub host: String,
    /// The prefix of the path, with a slash at the start and at the end.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: Kind,
    /// The time after its arrival at which a request times out, in milliseconds. Callers may ask for less.
    pub timeout_ms: u64,
    /// The latency objective, in milliseconds; a later answer is worth less. Shortly before it, a query over shards is
    /// answered as soon as it covers [`Shards::min_coverage`].
    pub objective_ms: u64,
    /// The priority among routes; 0 is the highest.
    pub priority: u32,
    /// How many targets of one service may run a request, if it may run more than once.
    pub max_attempts: u32,
    /// The regions whose targets may serve requests; all if empty.
    pub homes: Vec<String>,
    /// The destination.
    pub to: To,
    /// Whether requests need no key although the table has tenants. Encoded with the table and with patches, not with the
    /// route, whose encoding stays that of releases without tenants.
    #[serde(skip)]
    pub public: bool,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request may run more than once, so that it can be retried and hedged.
    Idempotent,
    /// A request runs at most once.
    AtMostOnce,
}

/// The destination of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum To {
    /// One service.
    Service(String),
    /// One of several services, chosen by weight.
    Split(Vec<Part>),
    /// All of several services; their records are merged into one answer.
    Shards(Shards),
}

/// One service of a weighted split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: String,
    /// The weight in parts per million, see [`PPM_SCALE`]. Only its ratio to the sum of all weights counts.
    pub weight: u64,
}

/// A query that is sent to one service per shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shards {
    /// The service of each shard.
    pub services: Vec<String>,
    /// The maximum number of merged records in an answer; the greatest ones are returned.
    pub top: usize,
    /// The minimum share of shards that an answer must cover, in parts per million, see [`PPM_SCALE`].
    pub min_coverage: u64,
}

impl Shards {
    /// The minimum number of shards that an answer must cover: `min_coverage` rounded up, and at least 1.
    pub fn min_shards(&self) -> usize {
        let total = self.services.len() as u64;
        let shards = self.min_coverage.saturating_mul(total).div_ceil(PPM_SCALE);
        usize::try_from(shards.clamp(1, total.max(1))).unwrap_or(usize::MAX)
    }
}

/// The settings of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// The maximum number of connections that each target of the service accepts from all hosts together.
    pub max_connections: u32,
    /// The request rate that a cold target can handle, in thousandths of a request per second; 0 if no limit is
    /// known.
    pub cold_millis_per_s: u64,
}

/// Limits for requests and connections of callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The maximum size of a header section, in bytes.
    pub header_bytes: u64,
    /// The maximum size of a body, in bytes.
    pub body_bytes: u64,
    /// The time limit for receiving a header section, in milliseconds.
    pub header_ms: u64,
    /// The idle timeout of a connection, in milliseconds.
    pub idle_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { header_bytes: 16 << 10, body_bytes: 256 << 10, header_ms: 3_000, idle_ms: 15_000 }
    }
}

impl Table {
    /// A copy without the operator's document, for entry hosts.
    pub fn without_document(&self) -> Self {
        Self { document: String::new(), ..self.clone() }
    }

    /// Describes how this table differs from the one that is stored under its version; none if they are the same. Documents
    /// are compared by content: an operator may send an order again in another form.
    pub fn conflict_with(&self, stored: &Self) -> Option<String> {
        let is_same = |one: &Self, other: &Self| {
            (&one.routes, &one.services, &one.limits, &one.tenants)
                == (&other.routes, &other.services, &other.limits, &other.tenants)
        };
        let in_document = document_difference(&self.document, &stored.document);
        let difference = match in_document {
            Some(path) => path,
            None if is_same(self, stored) => return None,
            None => {
                "none (the documents are the same, the routes decoded from them are not)".into()
            }
        };
        Some(format!(
            "a different route table with version {} is in force: sent_digest={:016x} stored_digest={:016x} \
             differs_at={difference}",
            self.version,
            document_digest(&self.document),
            document_digest(&stored.document),
        ))
    }
}

impl Route {
    /// The names of all services in the destination.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        let (service, split, shards) = match &self.to {
            To::Service(it) => (Some(it), None, None),
            To::Split(it) => (None, Some(it), None),
            To::Shards(it) => (None, None, Some(&it.services)),
        };
        let split = split.into_iter().flatten().map(|it| &it.service);
        service.into_iter().chain(split).chain(shards.into_iter().flatten()).map(String::as_str)
    }
}
