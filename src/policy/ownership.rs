//! Assigns each target to an entry host, its owner, by rendezvous hashing.

use std::collections::HashMap;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::state::{NodeKey, NodeView};

/// The entry hosts that may own targets, by availability zone. The hash of each host name is stored, because an
/// assignment at the design size compares 12,000 targets with up to 2,000 hosts.
pub struct Candidates<'a> {
    zones: HashMap<&'a str, Vec<Candidate<'a>>>,
}

struct Candidate<'a> {
    key: NodeKey,
    name: &'a str,
    name_hash: u64,
}

impl<'a> Candidates<'a> {
    /// Groups the usable hosts by zone.
    pub fn new(nodes: &'a [NodeView]) -> Self {
        let mut zones: HashMap<&str, Vec<Candidate<'_>>> = HashMap::new();
        for (i, node) in nodes.iter().enumerate().filter(|(_, it)| it.usable) {
            let name_hash = xxh3_64(node.name.as_bytes());
            let candidate = Candidate { key: NodeKey(i as u32), name: &node.name, name_hash };
            zones.entry(&node.zone).or_default().push(candidate);
        }
        Self { zones }
    }

    /// The host with the highest weight for the target: among the hosts of the target's zone if that has a usable one,
    /// else among all. `None` without usable hosts.
    pub fn owner(&self, target: &str, zone: &str) -> Option<NodeKey> {
        match self.zones.get(zone) {
            Some(candidates) => highest_weight(target, candidates.iter()),
            None => highest_weight(target, self.zones.values().flatten()),
        }
    }
}

fn highest_weight<'a>(
    target: &str,
    candidates: impl Iterator<Item = &'a Candidate<'a>>,
) -> Option<NodeKey> {
    candidates
        .max_by_key(|it| (xxh3_64_with_seed(target.as_bytes(), it.name_hash), it.name))
        .map(|it| it.key)
}

/// The entry host that owns a target, see [`Candidates::owner`]. To assign many targets, build [`Candidates`] once.
pub fn owner(target: &str, zone: &str, nodes: &[NodeView]) -> Option<NodeKey> {
    Candidates::new(nodes).owner(target, zone)
}

/// The rendezvous hashing weight of a candidate for a key. Callers choose the candidate with the highest one.
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64(candidate.as_bytes()))
}
