//! Measures the mean time of each policy decision for one query to 860 shards with three replicas each.
//! Run with `cargo run --release --example policy_cost`.

use std::{
    collections::HashMap,
    hint::black_box,
    time::{Duration, Instant},
};

use gentianpass::{
    policy::{
        admit::AdmissionController,
        budget::{Budget, HEDGE_BURST},
        canary, entries,
        latency::LatencyWindow,
        pick::LoadTable,
        pin,
        queue::{self, Flow, Queue},
        quota::{Bound, Bucket, Grant, Limit},
        rollout::Counts,
    },
    relay::{Admission, Choice, Exposure},
    state::{Change, Config, Group, Holding, Match, Node, Phase, Target, View},
    wire::owner::{Class, Hint},
};
use rand::{SeedableRng, rngs::SmallRng};

const SHARDS: u32 = 860;
const REPLICAS: u32 = 3;
const ENTRY_HOSTS: u32 = 11;
const ITERATIONS: u32 = 2_000;
const WAITING: usize = 10_000;

fn main() {
    let config = config();
    let start = Instant::now();
    let view = View::build(&config);
    println!("view of {} targets: {:?}", SHARDS * REPLICAS, start.elapsed());
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(1);
    let group = view.group("g").expect("group");
    let mut loads = LoadTable::new(&view, "z0");
    for (key, target) in view.targets() {
        let hint = Hint { target: target.name.clone(), limit: 3, in_flight: key.0 % 4, queued: 0 };
        loads.record_hint(key, &hint, now);
    }
    let shards = &group.versions[0].shards;
    bench("pin, 860 shards", || pin::choose(group, |it| loads.usable(it, now)));
    bench("pick, 860 shards", || {
        shards.iter().filter_map(|it| loads.pick(it, &[], now, &mut rng)).count()
    });
    let service = Duration::from_millis(4);
    bench("wait, 860 shards", || shards.iter().map(|it| loads.queue_wait(it, service, now)).max());
    let mut latency = LatencyWindow::new(now);
    let mut us = 0;
    bench("latency record and tail, 860 samples", || {
        for _ in 0..SHARDS {
            us = (us * 31 + 17) % 20_000;
            latency.record(Duration::from_micros(us), now);
            black_box(latency.tail(now));
        }
    });
    let mut budget = Budget::new(3, HEDGE_BURST);
    bench("budget earn and spend", || {
        budget.earn(SHARDS.into());
        budget.try_spend(1)
    });
    let admission = AdmissionController::new(256);
    bench("admit and release", || admission.admit(Class::Quick, service, service * 10).is_ok());
    bench("fingerprint", || canary::fingerprint("g", "label-search", "Morag Sutherland"));
    let mut known_good = canary::KnownGood::default();
    known_good.insert(1);
    bench("known good", || known_good.contains(1));
    bench("canary order, 2,580 targets", || {
        canary::target_order(1, view.targets().map(|(key, it)| (key, it.name.as_str())))
    });
    let exposure = Exposure::default();
    exposure.set_ppm(50_000);
    let admissions = black_box([Admission::Old, Admission::Old, Admission::New]);
    bench("rollout, draw and admission of 3 targets", || {
        let choice = if exposure.draw(&mut rng) {
            exposure.record_sent_new();
            Choice::Canary
        } else {
            exposure.record_reached_old();
            Choice::Regular
        };
        admissions.iter().filter(|it| it.allows(choice, true)).count()
    });
    let mut counts = Counts::default();
    bench("rollout, evidence of one answer", || counts.record(false, Some(black_box(service))));
    quota_cost(now);
    queue_cost(now);
    bench("entries, 11 hosts", || entries::addresses("janitor", view.nodes().map(|(_, it)| it)));
}

/// The quota of a request whose token is here, and of one at the relay that owns the bucket.
fn quota_cost(now: Instant) {
    let limit = Limit { rate: 1e9, burst: 1e9 };
    let mut bucket = Bucket::new(limit, Bound::default(), now, now + Duration::from_secs(1));
    let lot = bucket.grant(1, 1_000_000, 0, now + Duration::from_secs(1));
    let mut grants = HashMap::from([("tenant".to_owned(), Grant::new(&lot, Instant::now()))]);
    bench("quota, local token, with look-up and clock", || {
        grants.get_mut("tenant").is_some_and(|it| it.take(Instant::now()))
    });
    bench("quota, own bucket", || bucket.take(now + Duration::from_secs(1)).is_ok());
}

/// Decisions with 10,000 sub-requests waiting, of flows of one size, and of 141 flows of all sizes from 1 on.
fn queue_cost(now: Instant) {
    let same_size = |flows: usize| move |i: usize| i % flows;
    queue_cost_of(now, "1 flow", same_size(1));
    queue_cost_of(now, "75 flows", same_size(75));
    queue_cost_of(now, "10,000 flows", same_size(WAITING));
    queue_cost_of(now, "141 flows of all sizes", |i| (2 * i).isqrt());
}

fn queue_cost_of(now: Instant, flows: &str, flow: impl Fn(usize) -> usize) {
    let mut queue = Queue::bounded(WAITING);
    let later = |i: usize| now + Duration::from_millis(60_000 + (i * 7_919 % WAITING) as u64);
    let ticket = |queue: &mut Queue<usize>, i: usize| {
        let flow = Flow::of_tenant(&format!("t{}", flow(i)));
        queue.ticket_of(flow, queue::Class::Needed, 1, later(i))
    };
    for i in 0..WAITING {
        let ticket = ticket(&mut queue, i);
        queue.push(ticket, i, now);
    }
    let mid = queue.ticket_of(Flow::of_tenant("t1"), queue::Class::Needed, 1, later(WAITING / 2));
    bench(&format!("is_first, 10,000 waiting, {flows}"), || queue.is_first(&mid));
    bench(&format!("is_hopeless, 10,000 waiting, {flows}"), || queue.is_hopeless(&mid, now));
    bench(&format!("pop and push, 10,000 waiting, {flows}"), || {
        let i = queue.pop(now).unwrap_or_default();
        let ticket = ticket(&mut queue, i);
        queue.push(ticket, i, now);
    });
}

/// Prints the mean time of a decision.
fn bench<T>(name: &str, mut decide: impl FnMut() -> T) {
    let start = Instant::now();
    for _ in 0..ITERATIONS {
        black_box(decide());
    }
    println!("{name}: {:?}", start.elapsed() / ITERATIONS);
}

fn config() -> Config {
    let mut config = Config::default();
    let addr = ([127, 0, 0, 1], 9_000).into();
    let mut apply = |change| config.apply(&change, 0).expect("applied");
    apply(Change::PutGroup(Group {
        name: "g".into(),
        index: "i".into(),
        targets: Match::default(),
    }));
    for i in 0..ENTRY_HOSTS {
        apply(Change::PutNode(Node {
            name: format!("n{i}"),
            incarnation: 1,
            http: addr,
            rpc: addr,
            zone: format!("z{}", i % REPLICAS),
            leaving: false,
        }));
    }
    for i in 0..SHARDS * REPLICAS {
        let holding =
            Holding { index: "i".into(), version: 1, shard: i / REPLICAS, shards: SHARDS };
        apply(Change::PutTarget(Target {
            name: format!("t{i}"),
            incarnation: 1,
            addr,
            zone: format!("z{}", i % REPLICAS),
            labels: Default::default(),
            slots: 3,
            warm_up: 1,
            connections: 30,
            phase: Phase::Serving,
            holdings: vec![holding],
        }));
    }
    config
}
