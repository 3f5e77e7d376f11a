//! Entry hosts and targets that exist only as entries of the control state, to measure it at large sizes.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::state::{Holding, Node, Phase, Target};

/// The index and the value of the label `service` of all synthetic targets.
pub const SERVICE: &str = "search";

/// The entry host with this number.
pub fn node(number: usize, zone: String) -> Node {
    let addr = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7000));
    Node {
        name: format!("entry-{number:04}"),
        incarnation: 1,
        http: addr,
        rpc: addr,
        zone,
        leaving: false,
    }
}

/// The target with this number, which holds one shard of version 1.
pub fn target(number: usize, zone: String, shards: u32) -> Target {
    Target {
        name: format!("target-{number:05}"),
        incarnation: 1,
        addr: SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 7000)),
        zone,
        labels: BTreeMap::from([("service".into(), SERVICE.into())]),
        slots: 6,
        warm_up: 1,
        connections: 50,
        phase: Phase::Serving,
        holdings: vec![Holding {
            index: SERVICE.into(),
            version: 1,
            shard: number as u32 % shards,
            shards,
        }],
    }
}

/// The resident memory of a process, in KiB; 0 if it cannot be read.
pub fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"));
    line.and_then(|it| it.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
