//! Policies of entry hosts. The property tests `*_matches_reference` compare a policy with a reference implementation,
//! which does the same in the simplest way.

mod admit;
mod budget;
mod canary;
mod entries;
mod fair_queue;
mod gather_load;
mod latency;
mod ownership;
mod pick;
mod pin;
mod queue;
mod quota;
mod rollout;

use std::net::SocketAddr;

use gentianpass::state::{NodeView, TargetKey};
use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

/// The configuration of property tests. A fixed seed makes each run test the same cases.
fn cases(cases: u32) -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(1);
    ProptestConfig { cases, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn keys(numbers: &[u32]) -> Vec<TargetKey> {
    numbers.iter().copied().map(TargetKey).collect()
}

/// Entry hosts `n0`, `n1`, ... in zones `z0`, `z1`, `z2` in turn.
fn nodes(usable: &[bool]) -> Vec<NodeView> {
    let node = |(i, &usable): (usize, &bool)| NodeView {
        name: format!("n{i}"),
        incarnation: 1,
        http: SocketAddr::from(([127, 0, 0, 1], 8_000 + i as u16)),
        rpc: SocketAddr::from(([127, 0, 0, 1], 9_000 + i as u16)),
        zone: format!("z{}", i % 3),
        usable,
    };
    usable.iter().enumerate().map(node).collect()
}
