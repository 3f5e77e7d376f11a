//! The owner of each target, by rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::state::{NodeKey, NodeView};

/// The entry host that owns a target: the one with the highest hash, in the target's own zone if that has a usable one.
pub fn owner(target: &str, zone: &str, nodes: &[NodeView]) -> Option<NodeKey> {
    let best = |own_zone: bool| {
        nodes
            .iter()
            .enumerate()
            .filter(|(_, it)| it.usable && (!own_zone || it.zone == zone))
            .max_by_key(|(_, it)| (weight(target, &it.name), &it.name))
            .map(|(i, _)| NodeKey(i as u32))
    };
    best(true).or_else(|| best(false))
}

/// The rendezvous weight of a candidate for a key.
pub fn weight(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(candidate.as_bytes(), 0))
}
