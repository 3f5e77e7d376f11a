//! Measures what the control state costs an entry host at growing sizes: `cargo run --release --example slopes`.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use gentianpass::state::{
    Change, Config, Group, Holding, Labels, Match, Node, Object, ObjectKind, Phase, Target, View,
};

const ZONES: usize = 21;
const SHARDS: usize = 860;
/// Sizes as targets and entry hosts; the last one is the size to design for.
const SIZES: [(usize, usize); 4] = [(93, 11), (1_200, 200), (4_000, 667), (12_000, 2_000)];
const REPEATS: u32 = 5;

fn main() {
    for (targets, nodes) in SIZES {
        let config = fill(targets, nodes);
        let bytes = bincode::serialize(&config).expect("serializable configuration").len();
        let build = time(|| drop(View::build(&config)));
        let copy = time(|| drop(config.clone()));
        let label = time(|| {
            let mut config = config.clone();
            let _ = config.apply(&drain(), 1);
        });
        let apply = label.saturating_sub(copy);
        println!(
            "targets={targets} nodes={nodes} config_bytes={bytes} bytes_per_target={} \
             view_build_us={} apply_label_us={} resident_kb={}",
            bytes / targets,
            build.as_micros(),
            apply.as_micros(),
            resident_kb(),
        );
    }
}

fn time(mut f: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..REPEATS {
        f();
    }
    start.elapsed() / REPEATS
}

fn fill(targets: usize, nodes: usize) -> Config {
    let mut config = Config::default();
    let mut apply = |change: Change| drop(config.apply(&change, 0).expect("valid change"));
    for i in 0..nodes {
        apply(Change::PutNode(node(i)));
    }
    for i in 0..targets {
        apply(Change::PutTarget(target(i, targets)));
    }
    let targets = Match(Labels::from([("service".into(), "search".into())]));
    apply(Change::PutGroup(Group { name: "search".into(), index: "search".into(), targets }));
    config
}

fn node(i: usize) -> Node {
    let addr = SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 7000));
    Node {
        name: format!("entry-{i:04}"),
        incarnation: 1,
        http: addr,
        rpc: addr,
        zone: format!("zone-{}", i % ZONES),
        leaving: false,
    }
}

fn target(i: usize, targets: usize) -> Target {
    let shards = SHARDS.min(targets) as u32;
    Target {
        name: format!("target-{i:05}"),
        incarnation: 1,
        addr: SocketAddr::from(([10, 1, (i >> 8) as u8, i as u8], 7000)),
        zone: format!("zone-{}", i % ZONES),
        labels: BTreeMap::from([("service".into(), "search".into())]),
        slots: 6,
        warm_up: 1,
        connections: 50,
        phase: Phase::Serving,
        holdings: vec![Holding {
            index: "search".into(),
            version: 1,
            shard: i as u32 % shards,
            shards,
        }],
    }
}

fn drain() -> Change {
    let object = Object::new(ObjectKind::Zone, "zone-0");
    Change::SetLabel { object, key: "drain".into(), value: "true".into() }
}

fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|it| it.strip_prefix("VmRSS:"))
        .and_then(|it| it.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}
