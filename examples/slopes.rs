//! Measures how the memory and CPU time that the control state costs an entry host grow with the size of the system:
//! `cargo run --release --example slopes`.

use std::time::{Duration, Instant};

use gentianpass::{
    lab::synthetic::{self, SERVICE},
    state::{Change, Config, Group, Labels, Match, Object, ObjectKind, View},
};

const ZONES: usize = 21;
const SHARDS: usize = 860;
/// Sizes as (targets, entry hosts); the last one is the size that the system is designed for.
const SIZES: [(usize, usize); 4] = [(93, 11), (1_200, 200), (4_000, 667), (12_000, 2_000)];
const ITERATIONS: u32 = 5;

fn main() {
    for (targets, nodes) in SIZES {
        let config = build_config(targets, nodes);
        let bytes = bincode::serialize(&config).expect("serializable configuration").len();
        let build = mean_time(|| drop(View::build(&config)));
        let clone_time = mean_time(|| drop(config.clone()));
        let clone_and_apply = mean_time(|| {
            let mut config = config.clone();
            let _ = config.apply(&drain_zone(), 1);
        });
        let apply = clone_and_apply.saturating_sub(clone_time);
        println!(
            "targets={targets} nodes={nodes} config_bytes={bytes} bytes_per_target={} \
             view_build_us={} apply_label_us={} resident_kb={}",
            bytes / targets,
            build.as_micros(),
            apply.as_micros(),
            synthetic::resident_kib(std::process::id()),
        );
    }
}

/// The mean time of a call of `f`.
fn mean_time(mut f: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..ITERATIONS {
        f();
    }
    start.elapsed() / ITERATIONS
}

fn build_config(targets: usize, nodes: usize) -> Config {
    let shards = SHARDS.min(targets) as u32;
    let mut config = Config::default();
    let mut apply = |change: Change| drop(config.apply(&change, 0).expect("valid change"));
    for i in 0..nodes {
        apply(Change::PutNode(synthetic::node(i, zone(i))));
    }
    for i in 0..targets {
        apply(Change::PutTarget(synthetic::target(i, zone(i), shards)));
    }
    let targets = Match(Labels::from([("service".into(), SERVICE.into())]));
    apply(Change::PutGroup(Group { name: SERVICE.into(), index: SERVICE.into(), targets }));
    config
}

fn zone(number: usize) -> String {
    format!("zone-{}", number % ZONES)
}

fn drain_zone() -> Change {
    let object = Object::new(ObjectKind::Zone, "zone-0");
    Change::SetLabel { object, key: "drain".into(), value: "true".into() }
}
