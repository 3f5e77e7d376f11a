//! The owner of each target, by rendezvous hashing.

use std::collections::HashMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::state::{NodeKey, NodeView};

/// The entry hosts that may own targets, by availability zone. Hashes of host names are kept because an assignment at
/// the design size compares 12,000 targets with up to 2,000 hosts.
pub struct Candidates<'a> {
    zones: HashMap<&'a str, Vec<Candidate<'a>>>,
}

struct Candidate<'a> {
    key: NodeKey,
    name: &'a str,
    hash: u64,
}

impl<'a> Candidates<'a> {
    /// Collects the usable hosts.
    pub fn new(nodes: &'a [NodeView]) -> Self {
        let mut zones: HashMap<&str, Vec<Candidate<'_>>> = HashMap::new();
        for (i, node) in nodes.iter().enumerate().filter(|(_, it)| it.usable) {
            let hash = xxh3_64(node.name.as_bytes());
            let candidate = Candidate { key: NodeKey(i as u32), name: &node.name, hash };
            zones.entry(&node.zone).or_default().push(candidate);
        }
        Self { zones }
    }

    /// The host with the highest weight, in the target's own zone if that has a usable one.
    pub fn owner(&self, target: &str, zone: &str) -> Option<NodeKey> {
        match self.zones.get(zone) {
            Some(candidates) => best(target, candidates.iter()),
            None => best(target, self.zones.values().flatten()),
        }
    }
}

fn best<'a>(target: &str, candidates: impl Iterator<Item = &'a Candidate<'a>>) -> Option<NodeKey> {
    candidates
        .max_by_key(|it| (xxh3_64_with_seed(target.as_bytes(), it.hash), it.name))
        .map(|it| it.key)
}

/// The entry host that owns a target: the one with the highest hash, in the target's own zone if that has a usable one.
pub fn owner(target: &str, zone: &str, nodes: &[NodeView]) -> Option<NodeKey> {
    Candidates::new(nodes).owner(target, zone)
}

/// The rendezvous weight of a candidate for a key.
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64(candidate.as_bytes()))
}
