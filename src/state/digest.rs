//! Digest of the configuration, by which a copy is compared with the configuration of the control hosts.

use std::{
    collections::BTreeMap,
    io::{self, Write},
};

use serde::Serialize;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    route::{Limits, Route, Service, Table, Tenant},
    state::{Config, Group, Labels, Node, Object, Revision, Selector, Suspect, Target, Version},
};

/// What a copy of a configuration has in common with its original.
#[derive(Serialize)]
struct Shared<'a> {
    revision: Revision,
    operator_revision: Revision,
    labels: &'a BTreeMap<Object, Labels>,
    groups: &'a BTreeMap<String, Group>,
    selectors: &'a BTreeMap<String, Selector>,
    nodes: &'a BTreeMap<String, Node>,
    targets: &'a BTreeMap<String, Target>,
    versions: &'a BTreeMap<(String, u64), Version>,
    suspects: &'a BTreeMap<u64, Suspect>,
    routes: SharedRoutes<'a>,
}

/// The route table without the operators' document, which entry hosts do not get.
#[derive(Serialize)]
struct SharedRoutes<'a> {
    version: u64,
    routes: &'a [Route],
    services: &'a BTreeMap<String, Service>,
    limits: &'a Limits,
}

/// Hashes what is written.
struct Hasher(Xxh3);

impl Write for Hasher {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.update(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Config {
    /// Digest of the configuration: equal on the control hosts and on a copy that has followed their updates to the same
    /// revision, on all architectures. It leaves out the log's clock, which also advances by changes that make no new
    /// revision and so are not part of updates, and the operators' document of the route table.
    ///
    /// The cost is in proportion to the size of the configuration; nothing is cloned or buffered.
    pub fn digest(&self) -> u64 {
        // Without `..`, so that a new field has to be added here.
        let Self {
            revision,
            operator_revision,
            now_ms: _,
            labels,
            groups,
            selectors,
            nodes,
            targets,
            versions,
            suspects,
            routes: Table { version, document: _, routes, services, limits, tenants },
        } = self;
        let shared = Shared {
            revision: *revision,
            operator_revision: *operator_revision,
            labels,
            groups,
            selectors,
            nodes,
            targets,
            versions,
            suspects,
            routes: SharedRoutes { version: *version, routes, services, limits },
        };
        let mut hasher = Hasher(Xxh3::new());
        // Numbers are encoded in little-endian order with a fixed width, `usize` as 64 bits.
        bincode::serialize_into(&mut hasher, &shared).expect("configurations can be serialized");
        // Without tenants and public routes the digest is that of releases that knew neither.
        let public: Vec<_> = routes.iter().map(|it| it.public).collect();
        if !tenants.is_empty() || public.contains(&true) {
            let tenants: &[Tenant] = tenants;
            bincode::serialize_into(&mut hasher, &(public, tenants))
                .expect("tenants can be serialized");
        }
        hasher.0.digest()
    }
}
