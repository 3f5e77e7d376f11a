//! Measures what the control state costs an entry host at growing sizes: `cargo run --release --example slopes`.

use std::time::{Duration, Instant};

use gentianpass::{
    lab::synthetic::{self, SERVICE},
    state::{Change, Config, Group, Labels, Match, Object, ObjectKind, View},
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
            synthetic::resident_kib(std::process::id()),
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

fn drain() -> Change {
    let object = Object::new(ObjectKind::Zone, "zone-0");
    Change::SetLabel { object, key: "drain".into(), value: "true".into() }
}
